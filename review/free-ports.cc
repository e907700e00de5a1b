// Prints free ports of 127.0.0.1, one a line. They lie below the ports that the system gives to outgoing connections.
#include "Http.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdlib>
#include <random>

namespace {

using namespace review;

constexpr std::uint16_t firstPort = 10'000;
constexpr std::uint16_t lastPort = 32'000;

bool isFree(std::uint16_t port)
{
    boost::asio::io_context io;
    tcp::socket socket(io, tcp::v4());
    boost::system::error_code ec;
    socket.bind({ boost::asio::ip::make_address("127.0.0.1"), port }, ec);
    return !ec;
}

}

int main(int argc, char** argv)
{
    int wanted = argc > 1 ? std::atoi(argv[1]) : 1;
    std::random_device device;
    auto port = static_cast<std::uint16_t>(firstPort + device() % (lastPort - firstPort));
    while (wanted > 0) {
        port = port >= lastPort ? firstPort : static_cast<std::uint16_t>(port + 1);
        if (!isFree(port))
            continue;
        std::printf("%u\n", port);
        --wanted;
    }
    return 0;
}
