#pragma once

#include <string_view>

namespace carobpath::client::Detail {

/// What a reason code means, and where to look.
struct ReasonGuide {
    std::string_view reason;
    std::string_view meaning;
    std::string_view nextStep;
};

/// \returns the guide for the code; one that says so where the code is not known here.
const ReasonGuide& guideOf(std::string_view reason);

}
