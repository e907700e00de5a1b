#include "MemoryUse.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>

namespace carobpath::harness {

namespace {

    constexpr std::chrono::milliseconds interval { 20 };
    constexpr std::size_t kibibyte = 1024;
    constexpr int hexadecimal = 16;

    std::uint16_t portOf(const std::string& endpoint) { return static_cast<std::uint16_t>(std::stoi(endpoint.substr(endpoint.rfind(':') + 1))); }

    std::uint64_t afterColon(const std::string& text) { return std::stoull(text.substr(text.find(':') + 1), nullptr, hexadecimal); }

}

MemoryUse::MemoryUse(pid_t process, const std::string& endpoint)
    : m_process(process)
    , m_port(portOf(endpoint))
    , m_thread([this] { watch(); })
{
}

MemoryUse::~MemoryUse() { stop(); }

MemoryPeak MemoryUse::stop()
{
    m_stopped = true;
    if (m_thread.joinable())
        m_thread.join();
    return m_peak;
}

void MemoryUse::watch()
{
    while (!m_stopped) {
        const auto resident = residentBytes();
        const auto unread = unreadBytes();
        m_peak.total = std::max(m_peak.total, resident + unread);
        m_peak.process = std::max(m_peak.process, resident);
        m_peak.unread = std::max(m_peak.unread, unread);
        std::this_thread::sleep_for(interval);
    }
}

std::size_t MemoryUse::residentBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string word;
    while (status >> word && word != "VmRSS:") { }
    std::size_t kibibytes = 0;
    status >> kibibytes;
    return kibibytes * kibibyte;
}

std::size_t MemoryUse::unreadBytes() const
{
    std::ifstream table("/proc/" + std::to_string(m_process) + "/net/tcp");
    std::string line;
    std::getline(table, line);
    std::size_t bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        constexpr auto listening = "0A";
        if (state != listening && afterColon(local) == m_port)
            bytes += afterColon(queues);
    }
    return bytes;
}

}
