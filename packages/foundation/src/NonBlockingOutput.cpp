#include "carobpath/foundation/NonBlockingOutput.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

namespace carobpath {

NonBlockingOutput::NonBlockingOutput(int descriptor)
    : std::ostream(nullptr)
    , m_buffer(descriptor)
{
    rdbuf(&m_buffer);
}

NonBlockingOutput::Buffer::int_type NonBlockingOutput::Buffer::overflow(int_type c)
{
    if (!traits_type::eq_int_type(c, traits_type::eof()))
        m_held.push_back(traits_type::to_char_type(c));
    return traits_type::not_eof(c);
}

std::streamsize NonBlockingOutput::Buffer::xsputn(const char* text, std::streamsize n)
{
    m_held.append(text, static_cast<std::size_t>(n));
    return n;
}

bool NonBlockingOutput::Buffer::hasRoom() const
{
    pollfd it { m_descriptor, POLLOUT, 0 };
    return ::poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

int NonBlockingOutput::Buffer::sync()
{
    const auto line = std::exchange(m_held, {});
    if (line.empty())
        return 0;
    if (line.size() > s_longestLine || !hasRoom())
        return -1;
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size()) ? 0 : -1;
}

}
