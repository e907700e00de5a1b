#pragma once

#include "carobpath/foundation/ClientSettings.h"
#include "carobpath/publication/Publisher.h"

namespace carobpath::client::Detail {

/// \returns the keys that the settings name. \c BadKeyText where one is no key.
Result<publication::TrustedKeys> trustedKeys(const ClientSettings&);

/// Publishes over HTTP and waits for the result.
publication::PublishResult runPublisher(const ClientSettings&, const publication::PublishRequest&, const publication::KeyPair&,
    const publication::TrustedKeys&, std::chrono::milliseconds giveUpAfter);

}
