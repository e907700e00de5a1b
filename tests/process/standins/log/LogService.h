#pragma once

#include "LogStore.h"
#include "LogSwitches.h"

#include "common/HttpSession.h"
#include "common/StandinProcess.h"

#include <list>
#include <memory>

namespace carobpath::standins {

/// The platform's store over HTTP, with switches for its faults.
class LogService {
public:
    LogService(StandinProcess&, const tcp::endpoint&, std::chrono::milliseconds retention);

    tcp::endpoint endpoint() const { return m_server.endpoint(); }

private:
    using Session = std::shared_ptr<HttpSession>;

    /// A read that waits for a record.
    struct Waiter {
        Session session;
        std::string topic;
        std::uint64_t from = 0;
        std::size_t bytes = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
        /// The store went away while the read was waiting.
        bool isCut = false;
    };

    void handle(const Session&);
    void handleControl(const Session&, std::string_view path);
    void handleTopic(const Session&, std::string_view path, const std::string& topic);
    void perform(const Session&, const std::string& path, const std::string& topic);
    void append(const Session&, const std::string& topic);
    void read(const Session&, const std::string& topic);
    void answerRead(const Session&, const std::string& topic, std::uint64_t from, std::size_t bytes);
    void listNewest(const Session&, const std::string& topic);
    void trim(const Session&, const std::string& topic);
    void wake(const std::string& topic);
    void releaseAllWaiters();
    void comeBackFromCopy();
    void respond(const Session&, Response) const;
    bool isDown(const Session&) const;
    void answer(const Session&, Response);
    std::chrono::milliseconds appendDelay();
    void after(std::chrono::milliseconds, std::function<void()>);

    StandinProcess& m_process;
    LogStore m_store;
    LogSwitches m_switches;
    std::list<Waiter> m_waiters;
    MonotonicTime m_nextAppendAt {};
    std::uint64_t m_era = 1;
    std::uint64_t m_reads = 0;
    std::uint64_t m_appends = 0;
    std::uint64_t m_bytesRead = 0;
    HttpServer m_server;
};

}
