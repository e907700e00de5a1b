#include "carobpath/publication/HttpLogClient.h"

#include "carobpath/foundation/EnumTable.h"
#include "carobpath/publication/EndpointPool.h"
#include "internal/LogAnswer.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace carobpath::publication {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusGone = 410;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned firstServerError = 500;
    constexpr std::size_t recordsPerRead = 1024;

    constexpr std::array<EnumRow<LogError>, 6> logErrors { {
        { LogError::Unavailable, "unavailable" },
        { LogError::AnswerLost, "answer-lost" },
        { LogError::TimedOut, "timed-out" },
        { LogError::Malformed, "malformed" },
        { LogError::Refused, "refused" },
        { LogError::ConditionFailed, "condition-failed" },
    } };

    std::string recordsTarget(const std::string& stream)
    {
        return "/streams/" + stream + "/records";
    }

    /// \returns nothing where another endpoint may be asked.
    std::optional<AppendResult> appendResult(const Detail::HttpResult& result)
    {
        if (const auto* failure = std::get_if<Detail::HttpFailure>(&result)) {
            if (*failure == Detail::HttpFailure::NotSent)
                return std::nullopt;
            return LogFailure { LogError::AnswerLost, 0 };
        }
        const auto& answer = std::get<Detail::HttpAnswer>(result);
        if (answer.status == statusUnavailable)
            return std::nullopt;
        if (answer.status != statusOk) {
            const bool mayHaveRun = answer.status >= firstServerError;
            return LogFailure { mayHaveRun ? LogError::AnswerLost : LogError::Refused, answer.status };
        }
        if (const auto appended = Detail::readAppended(answer.body))
            return *appended;
        return LogFailure { LogError::AnswerLost, answer.status };
    }

    unsigned statusOf(const Detail::HttpResult& result)
    {
        const auto* answer = std::get_if<Detail::HttpAnswer>(&result);
        return answer ? answer->status : 0;
    }

    ReadResult readAnswer(const Detail::HttpAnswer& answer, Offset from)
    {
        if (answer.status == statusOk) {
            if (auto batch = Detail::readBatch(answer.body, from))
                return *std::move(batch);
            return LogFailure { LogError::Malformed, answer.status };
        }
        if (answer.status == statusGone) {
            if (const auto trimmed = Detail::readTrimmed(answer.body))
                return *trimmed;
            return LogFailure { LogError::Malformed, answer.status };
        }
        const bool isDown = answer.status >= firstServerError;
        return LogFailure { isDown ? LogError::Unavailable : LogError::Refused, answer.status };
    }

    ReadResult readResult(const Detail::HttpResult& result, Offset from)
    {
        const auto* failure = std::get_if<Detail::HttpFailure>(&result);
        if (!failure)
            return readAnswer(std::get<Detail::HttpAnswer>(result), from);
        if (*failure == Detail::HttpFailure::TimedOut)
            return LogFailure { LogError::TimedOut, 0 };
        if (*failure == Detail::HttpFailure::AnswerTooLarge)
            return LogFailure { LogError::Malformed, 0 };
        return LogFailure { LogError::Unavailable, 0 };
    }

    bool mayAskAnother(const ReadResult& result)
    {
        const auto* failure = std::get_if<LogFailure>(&result);
        return failure && failure->error != LogError::Refused;
    }

}

std::string_view toString(LogError it) { return enumText(logErrors, it); }

/// Shared by the client and its running operations.
class HttpLogClient::State : public std::enable_shared_from_this<State> {
public:
    State(const asio::any_io_executor& executor, HttpLogClientOptions options)
        : m_executor(executor)
        , m_options(std::move(options))
        , m_pool(std::make_shared<Detail::EndpointPool>(executor, m_options.endpoints, m_options.idleConnections))
    {
    }

    void append(const std::string& stream, std::string bytes, AppendHandler handler)
    {
        auto operation = std::make_shared<Append>();
        operation->request = requestFor(http::verb::post, recordsTarget(stream), m_options.answerTimeout);
        operation->request.body = std::move(bytes);
        operation->handler = std::move(handler);
        start(operation, [this, operation] { tryAppend(operation); });
    }

    void read(std::string stream, Offset from, std::chrono::milliseconds wait, std::size_t limit, ReadHandler handler)
    {
        auto operation = std::make_shared<Read>();
        operation->stream = std::move(stream);
        operation->from = from;
        operation->wait = wait;
        operation->limit = std::clamp<std::size_t>(limit, 1, recordsPerRead);
        operation->handler = std::move(handler);
        start(operation, [this, operation] { tryRead(operation); });
    }

    void close()
    {
        m_isClosed = true;
        m_pool->close();
    }

private:
    struct Append {
        Detail::HttpRequest request;
        AppendHandler handler;
        std::size_t firstEndpoint = 0;
        std::size_t tried = 0;
    };

    struct Read {
        std::string stream;
        Offset from = 0;
        std::chrono::milliseconds wait {};
        std::size_t limit = 0;
        ReadHandler handler;
        std::size_t firstEndpoint = 0;
        std::size_t tried = 0;
    };

    template <typename Operation, typename Begin>
    void start(const std::shared_ptr<Operation>& operation, const Begin& begin)
    {
        operation->firstEndpoint = m_pool->preferred();
        const bool isFull = m_running >= m_options.operations;
        ++m_running;
        if (!isFull && m_pool->size() > 0)
            return begin();
        asio::post(m_executor, [self = shared_from_this(), operation] {
            self->finish(*operation, LogFailure { LogError::Unavailable, 0 });
        });
    }

    template <typename Operation, typename Outcome>
    void finish(Operation& operation, Outcome outcome)
    {
        --m_running;
        if (!m_isClosed)
            operation.handler(std::move(outcome));
    }

    Detail::HttpRequest requestFor(http::verb method, std::string target, std::chrono::milliseconds answerTimeout) const
    {
        Detail::HttpRequest request;
        request.method = method;
        request.target = std::move(target);
        request.connectTimeout = m_options.connectTimeout;
        request.answerTimeout = answerTimeout;
        request.answerBytes = m_options.answerBytes;
        return request;
    }

    template <typename Operation>
    std::size_t endpointOf(const Operation& operation) const
    {
        return (operation.firstEndpoint + operation.tried) % m_pool->size();
    }

    void tryAppend(const std::shared_ptr<Append>& operation)
    {
        m_pool->send(endpointOf(*operation), operation->request, [self = shared_from_this(), operation](Detail::HttpResult result) {
            if (const auto outcome = appendResult(result))
                return self->finish(*operation, *outcome);
            ++operation->tried;
            if (operation->tried < self->m_pool->size())
                return self->tryAppend(operation);
            self->finish(*operation, AppendResult { LogFailure { LogError::Unavailable, statusOf(result) } });
        });
    }

    void tryRead(const std::shared_ptr<Read>& operation)
    {
        const std::string target = recordsTarget(operation->stream) + "?from=" + std::to_string(operation->from)
            + "&wait_ms=" + std::to_string(operation->wait.count()) + "&limit=" + std::to_string(operation->limit);
        const auto request = requestFor(http::verb::get, target, operation->wait + m_options.answerTimeout);
        m_pool->send(endpointOf(*operation), request, [self = shared_from_this(), operation](Detail::HttpResult result) {
            self->onReadResult(operation, result);
        });
    }

    void onReadResult(const std::shared_ptr<Read>& operation, const Detail::HttpResult& result)
    {
        const auto* failure = std::get_if<Detail::HttpFailure>(&result);
        if (failure && *failure == Detail::HttpFailure::AnswerTooLarge && operation->limit > 1) {
            operation->limit /= 2;
            return tryRead(operation);
        }
        auto outcome = readResult(result, operation->from);
        if (mayAskAnother(outcome))
            ++operation->tried;
        if (mayAskAnother(outcome) && operation->tried < m_pool->size())
            return tryRead(operation);
        finish(*operation, std::move(outcome));
    }

    asio::any_io_executor m_executor;
    HttpLogClientOptions m_options;
    std::shared_ptr<Detail::EndpointPool> m_pool;
    std::size_t m_running = 0;
    bool m_isClosed = false;
};

HttpLogClient::HttpLogClient(const asio::any_io_executor& executor, HttpLogClientOptions options)
    : m_state(std::make_shared<State>(executor, std::move(options)))
{
}

HttpLogClient::~HttpLogClient()
{
    if (m_state)
        m_state->close();
}

HttpLogClient::HttpLogClient(HttpLogClient&&) noexcept = default;

HttpLogClient& HttpLogClient::operator=(HttpLogClient&& other) noexcept
{
    std::swap(m_state, other.m_state);
    return *this;
}

void HttpLogClient::append(const std::string& stream, std::string bytes, AppendHandler handler)
{
    m_state->append(stream, std::move(bytes), std::move(handler));
}

void HttpLogClient::read(std::string stream, Offset from, std::chrono::milliseconds wait, std::size_t limit, ReadHandler handler)
{
    m_state->read(std::move(stream), from, wait, limit, std::move(handler));
}

}
