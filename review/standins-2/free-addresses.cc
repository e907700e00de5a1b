// Prints as many free loopback addresses as the argument says, one a line. All are taken at once, so that no two are the same.
// The search begins at a port that depends on the process, so that two scripts that run beside each other seldom meet.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    using boost::asio::ip::tcp;
    // Below the ports that the system gives to connections.
    constexpr unsigned short firstPort = 12'000;
    constexpr unsigned ports = 18'000;
    constexpr unsigned portsOfProcess = 100;
    const std::size_t wanted = argc > 1 ? std::stoul(argv[1]) : 1;
    boost::asio::io_context context;
    std::vector<tcp::acceptor> taken;
    const auto first = static_cast<unsigned>(::getpid()) * portsOfProcess;
    for (unsigned i = 0; i < ports && taken.size() < wanted; ++i) {
        const auto port = static_cast<unsigned short>(firstPort + (first + i) % ports);
        tcp::acceptor acceptor { context, tcp::v4() };
        boost::system::error_code ec;
        acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), port }, ec);
        if (ec)
            continue;
        std::cout << "127.0.0.1:" << port << '\n';
        taken.push_back(std::move(acceptor));
    }
    return taken.size() == wanted ? 0 : 2;
}
