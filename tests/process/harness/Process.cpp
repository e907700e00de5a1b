#include "Process.h"

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <boost/process/pipe.hpp>

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <sys/prctl.h>

namespace carobpath::harness {

namespace bp = boost::process;

namespace {

    constexpr int signalStatusBase = 128;
    constexpr std::chrono::milliseconds pollInterval { 5 };

    // Other children must not hold the pipe open after this one has ended.
    bp::ipstream pipeOfOneChild()
    {
        bp::pipe pipe;
        ::fcntl(pipe.native_source(), F_SETFD, FD_CLOEXEC);
        ::fcntl(pipe.native_sink(), F_SETFD, FD_CLOEXEC);
        return bp::ipstream(std::move(pipe));
    }

    /// \returns the newest events, for the message of a failure.
    std::string lastLines(const std::vector<EventLine>& events)
    {
        constexpr std::size_t shown = 6;
        std::string text = "; its last events:";
        for (auto it = events.end() - static_cast<std::ptrdiff_t>(std::min(shown, events.size())); it != events.end(); ++it)
            text += "\n" + it->dump();
        return text;
    }

    void dieWithParent()
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    }

}

struct Process::Child {
    bp::ipstream output = pipeOfOneChild();
    bp::child child;

    Child(const std::string& program, const std::vector<std::string>& arguments, const std::string& errorFile)
        : child(
            bp::exe = program, bp::args = arguments, bp::std_in<bp::null, bp::std_out> output,
            bp::std_err > std::filesystem::path(errorFile),
            bp::extend::on_exec_setup = [](auto&) { dieWithParent(); })
    {
    }
};

Process::Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& errorFile)
    : m_program(std::filesystem::path(program).filename().string())
    , m_child(std::make_unique<Child>(program, arguments, errorFile))
    , m_reader([this] { readLines(); })
{
}

Process::~Process()
{
    kill();
    m_reader.join();
}

void Process::readLines()
{
    std::string line;
    while (std::getline(m_child->output, line)) {
        auto event = nlohmann::json::parse(line, nullptr, false);
        const std::lock_guard lock(m_mutex);
        m_lines.push_back(line);
        if (event.is_object() && event.contains("event"))
            m_events.push_back(std::move(event));
        m_changed.notify_all();
    }
    const std::lock_guard lock(m_mutex);
    m_isOutputEnded = true;
    m_changed.notify_all();
}

pid_t Process::id() const { return m_child->child.id(); }

bool Process::isRunning()
{
    std::error_code ignored;
    return m_child->child.running(ignored);
}

void Process::signal(int number)
{
    if (isRunning())
        ::kill(id(), number);
}

void Process::terminate() { signal(SIGTERM); }

void Process::freeze() { signal(SIGSTOP); }

void Process::thaw() { signal(SIGCONT); }

void Process::kill()
{
    signal(SIGKILL);
    std::error_code ignored;
    m_child->child.wait(ignored);
}

int Process::waitForExit(std::chrono::milliseconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (isRunning()) {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error(m_program + " does not end");
        std::this_thread::sleep_for(pollInterval);
    }
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, end, [this] { return m_isOutputEnded; });
    const int status = m_child->child.native_exit_code();
    return WIFSIGNALED(status) ? signalStatusBase + WTERMSIG(status) : WEXITSTATUS(status);
}

EventLine Process::waitForEvent(const std::string& name, const Predicate& predicate, std::chrono::milliseconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    std::unique_lock lock(m_mutex);
    std::size_t seen = 0;
    while (true) {
        for (; seen < m_events.size(); ++seen) {
            const EventLine& event = m_events[seen];
            if (event["event"] == name && (!predicate || predicate(event)))
                return event;
        }
        if (m_isOutputEnded)
            throw std::runtime_error(m_program + " ended without the event " + name + lastLines(m_events));
        if (m_changed.wait_until(lock, end) == std::cv_status::timeout)
            throw std::runtime_error(m_program + " does not write the event " + name + lastLines(m_events));
    }
}

std::vector<EventLine> Process::events(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<EventLine> found;
    for (const EventLine& event : m_events) {
        if (event["event"] == name)
            found.push_back(event);
    }
    return found;
}

std::vector<std::string> Process::lines() const
{
    const std::lock_guard lock(m_mutex);
    return m_lines;
}

std::string Process::output() const
{
    std::string text;
    for (const auto& line : lines())
        text += line + "\n";
    return text;
}

}
