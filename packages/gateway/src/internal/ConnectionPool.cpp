#include "internal/ConnectionPool.h"

#include "internal/SocketOptions.h"

#include <algorithm>

namespace carobpath::gateway::Detail {

namespace {

    bool hasAnsweredWithError(const Connection& connection, const RequestId& request)
    {
        return std::find(connection.answeredWithError.begin(), connection.answeredWithError.end(), request) != connection.answeredWithError.end();
    }

}

void Connection::shrinkBuffer()
{
    if (buffer.capacity() <= s_shortAnswerBytes)
        return;
    buffer.shrink_to_fit();
    buffer.reserve(s_shortAnswerBytes);
}

ConnectionPool::ConnectionPool(boost::asio::io_context& context, const GatewayLimits& limits)
    : m_context(context)
    , m_limits(limits)
{
}

ConnectionPointer ConnectionPool::make() const
{
    return std::make_shared<Connection>(m_context, m_limits);
}

std::chrono::milliseconds ConnectionPool::idleLimit(const Connection& connection) const
{
    return std::min(m_limits.pooledIdle, connection.idleLimit.value_or(m_limits.pooledIdle));
}

ConnectionPointer ConnectionPool::take(const Endpoint& endpoint, const RequestId& request, MonotonicTime now)
{
    const auto it = m_idle.find(endpoint);
    if (it == m_idle.end())
        return nullptr;
    auto& connections = it->second.connections;
    for (std::size_t i = connections.size(); i-- > 0;) {
        if (hasAnsweredWithError(*connections[i], request))
            continue;
        auto connection = std::move(connections[i]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
        const bool expired = now - connection->usedAt > idleLimit(*connection);
        if (!expired && isOpenAndQuiet(connection->stream.socket()))
            return connection;
        connection->stream.close();
    }
    return nullptr;
}

void ConnectionPool::give(const Endpoint& endpoint, ConnectionPointer connection, MonotonicTime now)
{
    auto& idle = m_idle[endpoint];
    const bool suspect = connection->madeAt <= idle.suspectUpTo;
    const bool hasManyErrors = connection->answeredWithError.size() >= Connection::s_mostErrors;
    if (suspect || hasManyErrors || idle.connections.size() >= m_limits.pooledConnections || connection->buffer.size() != 0) {
        connection->stream.close();
        return;
    }
    connection->shrinkBuffer();
    connection->usedAt = now;
    connection->reused = true;
    idle.connections.push_back(std::move(connection));
}

void ConnectionPool::closeOlder(const Endpoint& endpoint, MonotonicTime madeUpTo)
{
    auto& idle = m_idle[endpoint];
    idle.suspectUpTo = std::max(idle.suspectUpTo, madeUpTo);
    std::erase_if(idle.connections, [&](const ConnectionPointer& it) {
        if (it->madeAt > madeUpTo)
            return false;
        it->stream.close();
        return true;
    });
}

void ConnectionPool::expire(MonotonicTime now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second.connections, [&](const ConnectionPointer& connection) {
            if (now - connection->usedAt <= idleLimit(*connection))
                return false;
            connection->stream.close();
            return true;
        });
        const bool suspicionIsOld = now - it->second.suspectUpTo > m_limits.pooledIdle;
        if (it->second.connections.empty() && suspicionIsOld)
            it = m_idle.erase(it);
        else
            ++it;
    }
}

std::size_t ConnectionPool::idleConnections() const
{
    std::size_t n = 0;
    for (const auto& [endpoint, idle] : m_idle)
        n += idle.connections.size();
    return n;
}

}
