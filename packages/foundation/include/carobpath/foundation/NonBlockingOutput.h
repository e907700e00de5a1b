#pragma once

#include <ostream>
#include <streambuf>
#include <string>

namespace carobpath {

/// An output to a file descriptor, such as standard output, that never waits for its reader. What is written is held
/// until the flush; where the reader is full then, it is dropped whole and the stream fails until it is cleared.
class NonBlockingOutput : public std::ostream {
public:
    /// A pipe with room takes as many bytes at once (PIPE_BUF on Linux); a longer line could block and is dropped.
    static constexpr std::size_t s_longestLine = 4096;

    explicit NonBlockingOutput(int descriptor);

private:
    class Buffer : public std::streambuf {
    public:
        explicit Buffer(int descriptor)
            : m_descriptor(descriptor)
        {
        }

    protected:
        int_type overflow(int_type c) override;
        std::streamsize xsputn(const char* text, std::streamsize n) override;
        int sync() override;

    private:
        bool hasRoom() const;

        int m_descriptor;
        std::string m_held;
    };

    Buffer m_buffer;
};

}
