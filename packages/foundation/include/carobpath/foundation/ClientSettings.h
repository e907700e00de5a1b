#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Log.h"
#include "carobpath/foundation/MemberSettings.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/foundation/SettingDescription.h"

#include <chrono>
#include <string>
#include <vector>

namespace carobpath {

/// Settings of the operators' client.
struct ClientSettings {
    /// The platform's log.
    struct Log {
        std::vector<Endpoint> endpoints;
        std::string stream;
    } log;

    /// The member in whose name objects are published.
    struct Member {
        MemberName name;
        /// Ed25519 private key (seed); empty for a client that only reads.
        HexKey privateKey;
        std::string privateKeyFile;
    } member;

    std::vector<MemberSettings> members;

    /// Ed25519 public key that the records of nodes are checked with; empty for a client that takes them unchecked.
    HexKey fleetPublicKey;

    /// Admin addresses of nodes to ask.
    std::vector<Endpoint> nodes;

    struct Timeouts {
        std::chrono::microseconds log {};
        std::chrono::microseconds node {};
        std::chrono::microseconds accepted {};
    } timeouts;

    LogLevel logLevel = LogLevel::Warn;
};

/// \returns the settings, or SettingsFaults with every fault of the text. Files that it names are read.
Result<ClientSettings> readClientSettings(std::string_view yaml, const std::string& file);

/// Reads the file and its settings, or SettingsFaults.
Result<ClientSettings> loadClientSettings(const std::string& file);

const std::vector<SettingDescription>& clientSettingDescriptions();

}
