#include "ProcessUsage.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

namespace carobpath::bench {

namespace {

    // Fields of /proc/PID/stat after the command's name, counted from 0.
    constexpr std::size_t userTicks = 11;
    constexpr std::size_t systemTicks = 12;
    constexpr std::size_t residentPages = 21;

    std::vector<std::string> statOf(pid_t pid)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
        const std::string text((std::istreambuf_iterator<char>(file)), {});
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        return { std::istream_iterator<std::string>(fields), {} };
    }

}

ProcessUsage usageOf(pid_t pid)
{
    const auto values = statOf(pid);
    const double ticks = std::stod(values.at(userTicks)) + std::stod(values.at(systemTicks));
    ProcessUsage usage;
    usage.processorSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.residentBytes = std::stoull(values.at(residentPages)) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return usage;
}

}
