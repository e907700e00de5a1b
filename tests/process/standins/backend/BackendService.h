#pragma once

#include "BackendModel.h"

#include "common/HttpSession.h"
#include "common/StandinProcess.h"

#include <functional>
#include <list>
#include <memory>

namespace carobpath::standins {

/// The backend stand-in's address for calls.
class BackendService {
public:
    BackendService(StandinProcess&, BackendModel&, const tcp::endpoint&);

    tcp::endpoint endpoint() const { return m_server.endpoint(); }

    /// \returns whether no call runs or waits.
    bool isIdle() const { return m_model.inFlight() == 0 && m_model.waiting() == 0; }

    std::uint64_t executed() const { return m_executed; }
    std::uint64_t refused() const { return m_refused; }

private:
    using Session = std::shared_ptr<HttpSession>;

    /// One call from its arrival to its answer.
    struct Call {
        Call(Session, boost::asio::io_context&);

        Session session;
        std::string requestId;
        std::string target;
        MonotonicTime deadline = MonotonicTime::max();
        boost::asio::steady_timer timer;
        bool isRunning = false;
        bool isEnded = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    void handle(const Session&);
    void handleProbe(const Session&, std::string_view path);
    void wait(const CallPointer&);
    void run(const CallPointer&);
    void answer(const CallPointer&, bool isFailed);
    void answerLate(const CallPointer&);
    void refuse(const CallPointer&, std::string_view reason);
    void cancel(const CallPointer&);
    void end(const CallPointer&);
    void startNext();
    void recordExecution(const CallPointer&);
    Response header(const CallPointer&, http::status) const;

    StandinProcess& m_process;
    BackendModel& m_model;
    std::list<CallPointer> m_waiting;
    std::uint64_t m_executed = 0;
    std::uint64_t m_refused = 0;
    HttpServer m_server;
};

}
