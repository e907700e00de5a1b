#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <thread>

namespace carobpath::harness {

/// Memory that a process takes of its instance, in bytes.
struct MemoryPeak {
    /// Most of both together.
    std::size_t total = 0;
    /// Most that is resident.
    std::size_t process = 0;
    /// Most that the kernel has received for the process and it has not read.
    std::size_t unread = 0;
};

/// Watches the memory of a process until it is stopped.
class MemoryUse {
public:
    /// \param endpoint "IP:PORT" of the listener whose connections' unread bytes count.
    MemoryUse(pid_t process, const std::string& endpoint);
    ~MemoryUse();
    MemoryUse(const MemoryUse&) = delete;
    MemoryUse& operator=(const MemoryUse&) = delete;

    MemoryPeak stop();

private:
    void watch();
    std::size_t residentBytes() const;
    std::size_t unreadBytes() const;

    pid_t m_process;
    std::uint16_t m_port;
    MemoryPeak m_peak;
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

}
