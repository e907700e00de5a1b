#pragma once

#include "internal/BodyStore.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobpath::gateway::Detail {

namespace http = boost::beast::http;

/// A part of a body, whose whole capacity counts as held.
class BodyBlock {
public:
    BodyBlock(std::size_t capacity, const BodyStore::Pointer&);

    std::string_view text() const { return { m_bytes.get(), m_size }; }
    /// \returns how many of the bytes had room.
    std::size_t append(std::string_view);

private:
    std::unique_ptr<char[]> m_bytes;
    std::size_t m_capacity;
    std::size_t m_size = 0;
    Charge m_charge;
};

struct BodyBlocks {
    std::vector<std::shared_ptr<BodyBlock>> list;
    std::size_t size = 0;
};

/// The bytes of a body. Copies share them; only a body that was not copied may grow.
class BodyBytes {
public:
    /// Bodies up to this size are small: they find room when large ones do not, and are not looked for in the store.
    static constexpr std::size_t s_smallBytes = 64ULL * 1024;

    BodyBytes() = default;
    explicit BodyBytes(std::string_view);

    /// From now on, what is appended counts as held in the store.
    void holdIn(BodyStore::Pointer store) { m_store = std::move(store); }
    const BodyStore::Pointer& store() const { return m_store; }

    std::size_t size() const { return m_blocks ? m_blocks->size : 0; }
    bool empty() const { return size() == 0; }
    std::string text() const;
    const std::shared_ptr<BodyBlocks>& blocks() const { return m_blocks; }

    /// \param expected bytes that the body will have, where that is known.
    void append(std::string_view, std::optional<std::uint64_t> expected = std::nullopt);
    /// Takes the first bytes of another body: its blocks are shared as far as they are whole.
    void share(const BodyBlocks&, std::size_t bytes);

private:
    BodyBlock& blockWithRoom(std::optional<std::uint64_t> expected);

    BodyStore::Pointer m_store;
    std::shared_ptr<BodyBlocks> m_blocks;
};

/// Puts the bytes of one request's body together. Bytes that equal those of a body which this process sent are not copied.
class BodyAssembly {
public:
    explicit BodyAssembly(BodyBytes& body)
        : m_body(body)
    {
    }

    /// \param id of the call, which may be empty.
    void begin(std::optional<std::uint64_t> length, std::string_view id);
    void append(std::string_view);
    void finish();

private:
    bool equalsOffered(std::string_view bytes);

    BodyBytes& m_body;
    std::optional<std::uint64_t> m_length;
    std::shared_ptr<const BodyBlocks> m_offered;
    std::size_t m_equalBytes = 0;
    std::size_t m_block = 0;
    std::size_t m_blockOffset = 0;
};

/// Body type of Beast messages that are held in blocks.
struct BlockBody {
    using value_type = BodyBytes;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader { // NOLINT(readability-identifier-naming): Beast looks for it
    public:
        template <bool isRequest, typename Fields>
        reader(http::header<isRequest, Fields>& header, value_type& body)
            : m_fields(header)
            , m_assembly(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& ec)
        {
            const auto id = m_fields.find(s_idField);
            m_assembly.begin(length ? std::optional(*length) : std::nullopt, id == m_fields.end() ? std::string_view {} : std::string_view { id->value() });
            ec = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            std::size_t n = 0;
            for (const auto buf : boost::beast::buffers_range_ref(buffers)) {
                m_assembly.append({ static_cast<const char*>(buf.data()), buf.size() });
                n += buf.size();
            }
            ec = {};
            return n;
        }

        void finish(boost::system::error_code& ec)
        {
            m_assembly.finish();
            ec = {};
        }

    private:
        static constexpr std::string_view s_idField = "Carobpath-Request-Id";

        http::fields& m_fields;
        BodyAssembly m_assembly;
    };

    class writer { // NOLINT(readability-identifier-naming): Beast looks for it
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool isRequest, typename Fields>
        writer(const http::header<isRequest, Fields>&, const value_type& body)
            : m_blocks(body.blocks())
        {
        }

        void init(boost::system::error_code& ec) { ec = {}; }

        boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code& ec)
        {
            ec = {};
            if (!m_blocks || m_next == m_blocks->list.size())
                return boost::none;
            const auto text = m_blocks->list[m_next++]->text();
            return { { const_buffers_type { text.data(), text.size() }, m_next < m_blocks->list.size() } };
        }

    private:
        std::shared_ptr<const BodyBlocks> m_blocks;
        std::size_t m_next = 0;
    };
};

}
