#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <kj/async-io.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace carobpath::peer {

/// Sets what every connection between nodes has: no delay, keep-alive, and a bound on unacknowledged bytes' age.
void setPeerSocketOptions(boost::asio::ip::tcp::socket&);

/// A TCP socket of Asio as a stream of kj. Buffers belong to the stream, so a promise may be dropped at any time.
class AsioStream final : public kj::AsyncIoStream {
public:
    /// Bytes that one read takes from the socket, if they are there.
    static constexpr std::size_t s_readAhead = 16384;

    explicit AsioStream(boost::asio::ip::tcp::socket);
    ~AsioStream();

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

private:
    struct State;

    kj::Promise<void> writeAll(std::vector<kj::byte> bytes);

    std::shared_ptr<State> m_state;
};

}
