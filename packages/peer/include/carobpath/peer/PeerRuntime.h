#pragma once

#include <boost/asio/io_context.hpp>

#include <memory>

namespace carobpath::peer {

/// Runs Cap'n Proto's event loop on an Asio context. One for each thread; everything of this package runs on it.
class PeerRuntime {
public:
    /// \param context must outlive the runtime, and is run by the thread that makes the runtime.
    explicit PeerRuntime(boost::asio::io_context& context);
    ~PeerRuntime();
    PeerRuntime(const PeerRuntime&) = delete;
    PeerRuntime& operator=(const PeerRuntime&) = delete;

    boost::asio::io_context& context();
    /// Destroys an object outside the events of the loop, and before the loop at the latest.
    void dispose(std::shared_ptr<void>);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
