#include "LogService.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

void run(const cxxopts::ParseResult& options)
{
    using namespace carobpath::standins;
    StandinProcess process("log/" + options["name"].as<std::string>());
    const auto retention = std::chrono::milliseconds(options["retention-ms"].as<std::uint64_t>());
    const LogService service(process, endpointFromText(options["listen"].as<std::string>()), retention);
    process.events().record(carobpath::Event(carobpath::event::started).with("listen", endpointText(service.endpoint())));
    process.run([&process] { process.stop(); });
    process.events().record(carobpath::Event(carobpath::event::stopped));
}

}

/// Stand-in of the platform's log.
int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("log-standin", "The platform's log for tests");
        options.add_options()("name", "name on the time line", cxxopts::value<std::string>()->default_value("main"));
        options.add_options()("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
        options.add_options()("retention-ms", "how long records are kept", cxxopts::value<std::uint64_t>()->default_value("86400000"));
        run(options.parse(argc, argv));
        return 0;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
