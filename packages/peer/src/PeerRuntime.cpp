#include "carobpath/peer/PeerRuntime.h"

#include "internal/KjLoop.h"

#include <boost/asio/post.hpp>

#include <vector>

namespace carobpath::peer {

struct PeerRuntime::Impl {
    explicit Impl(boost::asio::io_context& it)
        : context(it)
        , port(it)
        , loop(port)
        , scope(loop)
    {
        port.attach(loop);
    }

    ~Impl()
    {
        port.detach();
        disposed->clear();
        // Events that are left would be reported as leaked.
        loop.run();
    }

    boost::asio::io_context& context;
    AsioEventPort port;
    kj::EventLoop loop;
    kj::WaitScope scope;
    std::shared_ptr<std::vector<std::shared_ptr<void>>> disposed = std::make_shared<std::vector<std::shared_ptr<void>>>();
};

PeerRuntime::PeerRuntime(boost::asio::io_context& context)
    : m_impl(std::make_unique<Impl>(context))
{
}

PeerRuntime::~PeerRuntime() = default;

void PeerRuntime::dispose(std::shared_ptr<void> object)
{
    m_impl->disposed->push_back(std::move(object));
    if (m_impl->disposed->size() > 1)
        return;
    boost::asio::post(m_impl->context, [disposed = m_impl->disposed] {
        const auto objects = std::exchange(*disposed, {});
    });
}

boost::asio::io_context& PeerRuntime::context()
{
    return m_impl->context;
}

}
