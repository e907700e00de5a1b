#include "internal/Countdown.h"

#include <utility>

namespace carobpath::node::Detail {

Countdown::Countdown(boost::asio::io_context& io, std::size_t steps, std::function<void()> done)
    : m_timer(io)
    , m_steps(steps)
    , m_done(std::move(done))
{
}

Countdown::Pointer Countdown::start(
    boost::asio::io_context& io, std::size_t steps, std::chrono::milliseconds longest, std::function<void()> done)
{
    Pointer it { new Countdown(io, steps, std::move(done)) };
    if (steps == 0) {
        it->finish();
        return it;
    }
    it->m_timer.expires_after(longest);
    it->m_timer.async_wait([it](boost::system::error_code ec) {
        if (!ec)
            it->finish();
    });
    return it;
}

void Countdown::step()
{
    if (m_steps > 0 && --m_steps == 0)
        finish();
}

void Countdown::finish()
{
    m_timer.cancel();
    if (const auto done = std::exchange(m_done, nullptr))
        done();
}

}
