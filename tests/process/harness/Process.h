#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace carobpath::harness {

/// One line of a process's time line.
using EventLine = nlohmann::json;

/// The one bound on every wait, against hanging. It is no expectation of speed.
inline constexpr std::chrono::seconds patience { 30 };

/// A started program whose standard output is read line by line as events. Dies with the test.
class Process {
public:
    using Predicate = std::function<bool(const EventLine&)>;

    /// \param errorFile where standard error goes.
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& errorFile);

    /// Kills the process where it still runs.
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t id() const;
    bool isRunning();

    /// SIGTERM, SIGKILL, SIGSTOP and SIGCONT.
    void terminate();
    void kill();
    void freeze();
    void thaw();

    /// Waits for the end and for the last line. \returns the exit status, or 128 and the signal; throws where the
    /// process outlives the bound.
    int waitForExit(std::chrono::milliseconds bound = patience);

    /// \returns the first event of the name that meets the predicate, past or future; throws after the bound.
    EventLine waitForEvent(const std::string& name, const Predicate& = {}, std::chrono::milliseconds bound = patience);

    /// \returns the events of the name so far.
    std::vector<EventLine> events(const std::string& name) const;

    /// \returns every line of standard output so far.
    std::vector<std::string> lines() const;
    std::string output() const;

private:
    struct Child;

    void readLines();
    void signal(int number);

    std::string m_program;
    std::unique_ptr<Child> m_child;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    std::vector<EventLine> m_events;
    bool m_isOutputEnded = false;
    std::thread m_reader;
};

}
