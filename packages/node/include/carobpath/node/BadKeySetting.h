#pragma once

#include <string>

namespace carobpath::node {

/// A key in the settings that has the form of one but is none.
struct BadKeySetting {
    /// Dotted path of the setting.
    std::string key;
};

}
