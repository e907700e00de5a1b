#pragma once

#include "carobpath/client/ExitCode.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace carobpath::client {

/// Runs one command of `carobpath` to its end.
/// \param arguments the command line without the program's name.
ExitCode runClient(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}
