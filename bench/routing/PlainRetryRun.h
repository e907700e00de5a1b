#pragma once

#include "OverloadRun.h"

namespace carobpath::bench {

/// Each entry sends a call to a random upstream, up to three times, whatever happens to other calls.
class PlainRetryRun : public OverloadRun {
public:
    static constexpr int s_tries = 3;
    using OverloadRun::OverloadRun;

protected:
    virtual std::size_t chooseUpstream() { return random()() % overloadCase().upstreams; }

private:
    struct Call {
        std::uint64_t attempt = 0;
        std::size_t upstream = 0;
        int tries = 0;
        MonotonicTime since;
    };
    using CallPointer = std::shared_ptr<Call>;

    void startCall() override
    {
        auto call = std::make_shared<Call>();
        call->since = queue().now();
        tryOnce(call);
    }

    void tryOnce(const CallPointer& call)
    {
        ++call->tries;
        onAttempt();
        call->attempt = ++m_attempts;
        call->upstream = chooseUpstream();
        const auto attempt = call->attempt;
        queue().after(overloadCase().hop, [this, call, attempt] { arriveAtBackend(call, attempt); });
        queue().after(overloadCase().timeout / s_tries, [this, call, attempt] { onTimeout(call, attempt); });
    }

    void arriveAtBackend(const CallPointer& call, std::uint64_t attempt)
    {
        const bool taken = backend(call->upstream).offer(attempt, [this, call, attempt] {
            queue().after(overloadCase().hop, [this, call, attempt] { onAnswer(call, attempt); });
        });
        if (!taken)
            queue().after(overloadCase().hop, [this, call, attempt] { fail(call, attempt); });
    }

    void onAnswer(const CallPointer& call, std::uint64_t attempt)
    {
        if (call->attempt != attempt)
            return;
        call->attempt = 0;
        onAnswered(call->since);
    }

    void onTimeout(const CallPointer& call, std::uint64_t attempt)
    {
        if (call->attempt != attempt)
            return;
        backend(call->upstream).cancel(attempt);
        if (call->tries < s_tries) {
            fail(call, attempt);
            return;
        }
        call->attempt = 0;
        onLate();
    }

    void fail(const CallPointer& call, std::uint64_t attempt)
    {
        if (call->attempt != attempt)
            return;
        call->attempt = 0;
        if (call->tries < s_tries)
            tryOnce(call);
        else
            onRefused(call->since);
    }

    std::uint64_t m_attempts = 0;
};

/// Sends each call to the upstream that says it has least to do. The word is two seconds old, and the first upstream
/// always says that it is idle.
class SpreadLoadRun : public PlainRetryRun {
public:
    static constexpr std::chrono::seconds s_lag { 2 };
    using PlainRetryRun::PlainRetryRun;

private:
    std::size_t chooseUpstream() override
    {
        if (queue().now() >= m_refreshAt) {
            m_refreshAt = queue().now() + s_lag;
            m_said.assign(overloadCase().upstreams, 0);
            for (std::size_t i = 1; i < m_said.size(); ++i)
                m_said[i] = backend(i).held();
        }
        const auto a = random()() % m_said.size();
        const auto b = random()() % m_said.size();
        return m_said[b] < m_said[a] ? b : a;
    }

    MonotonicTime m_refreshAt {};
    std::vector<std::size_t> m_said;
};

}
