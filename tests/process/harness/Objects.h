#pragma once

#include <string>

/// Object files that the tests and the demo publish.
namespace carobpath::harness::objects {

inline constexpr const char* bookingHost = "booking.petra.example";

/// Petra's booking service at its first version, with a second version beside it.
std::string booking();

/// A move of the booking service. \param start and deadline such as "+2s"; counted from publishing.
std::string bookingMove(const std::string& name, const std::string& to, const std::string& start, const std::string& deadline, const std::string& onThinEvidence = "finish");

/// One more version of the booking service.
std::string bookingVersion(const std::string& name);

}
