#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace carobpath::node::Detail {

/// Calls a function once: after as many steps as it was made for, or when its time is up.
class Countdown {
public:
    using Pointer = std::shared_ptr<Countdown>;

    /// Without steps the function is called at once.
    static Pointer start(boost::asio::io_context&, std::size_t steps, std::chrono::milliseconds longest, std::function<void()> done);

    void step();

private:
    Countdown(boost::asio::io_context&, std::size_t steps, std::function<void()> done);

    void finish();

    boost::asio::steady_timer m_timer;
    std::size_t m_steps;
    std::function<void()> m_done;
};

}
