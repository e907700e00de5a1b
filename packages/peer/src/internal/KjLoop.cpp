#include "KjLoop.h"

#include <boost/asio/post.hpp>

namespace carobpath::peer {

AsioEventPort::AsioEventPort(boost::asio::io_context& context)
    : m_context(context)
{
}

void AsioEventPort::attach(kj::EventLoop& loop)
{
    m_state->loop = &loop;
}

void AsioEventPort::detach()
{
    m_state->loop = nullptr;
}

bool AsioEventPort::wait()
{
    m_context.run_one();
    return false;
}

bool AsioEventPort::poll()
{
    m_context.poll();
    return false;
}

void AsioEventPort::setRunnable(bool runnable)
{
    if (runnable)
        post();
}

void AsioEventPort::wake() const
{
    // Nothing of this package is called from another thread.
}

void AsioEventPort::post()
{
    if (m_state->isPosted || !m_state->loop)
        return;
    m_state->isPosted = true;
    boost::asio::post(m_context, [state = m_state] {
        state->isPosted = false;
        if (state->loop)
            state->loop->run();
    });
}

}
