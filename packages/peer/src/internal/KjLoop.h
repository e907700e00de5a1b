#pragma once

#include <boost/asio/io_context.hpp>
#include <kj/async.h>

#include <memory>

namespace carobpath::peer {

/// Lets kj's event loop take its turns as handlers of an Asio context.
class AsioEventPort final : public kj::EventPort {
public:
    explicit AsioEventPort(boost::asio::io_context&);

    void attach(kj::EventLoop&);
    void detach();

    bool wait() override;
    bool poll() override;
    void setRunnable(bool runnable) override;
    void wake() const override;

private:
    struct State {
        kj::EventLoop* loop = nullptr;
        bool isPosted = false;
    };

    void post();

    boost::asio::io_context& m_context;
    std::shared_ptr<State> m_state = std::make_shared<State>();
};

}
