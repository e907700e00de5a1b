#pragma once

#include "carobpath/foundation/NodeSettings.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/node/UpstreamMonitor.h"
#include "carobpath/platform/StoreClient.h"
#include "carobpath/publication/Keys.h"
#include "carobpath/quota/QuotaOwner.h"
#include "carobpath/routing/AdmissionController.h"
#include "carobpath/routing/RetryBudget.h"

/// The node's settings in the terms of the slices that they are for.
namespace carobpath::node::Detail {

gateway::GatewayLimits limitsOf(const NodeSettings&);

platform::StoreClientOptions storeOptionsOf(const NodeSettings&);

ExpectedBackend expectedBackendOf(const NodeSettings&);

routing::AdmissionPolicy admissionPolicyOf(const NodeSettings&);

quota::QuotaPolicy quotaPolicyOf(const NodeSettings&);
routing::FleetRetryBound retryBoundOf(const NodeSettings&);

/// \returns the key of the settings; a new one where nothing is signed. Fails with \c BadKeySetting.
Result<publication::KeyPair> fleetKeyOf(const NodeSettings&);

/// \returns the keys of the members and of the fleet. Fails with \c BadKeySetting.
Result<publication::TrustedKeys> trustedKeysOf(const NodeSettings&);

}
