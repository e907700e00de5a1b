#pragma once

#include "CheckedHistory.h"
#include "FakeIntentLog.h"

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace carobpath::routing::tests {

using namespace std::chrono_literals;

/// A run of two concurrent owners of the same keys, with a log that loses and delays answers.
template <typename Ledger>
class LedgerHistory {
public:
    enum Action : std::uint32_t { Claim,
        StepOperation,
        StepLatest,
        FailOperation,
        Tick,
        Kill,
        End,
        Repeat,
        Actions };

    LedgerHistory()
    {
        for (std::size_t i = 0; i < m_ledgers.size(); ++i)
            restart(i);
        m_log.setPageSize(2);
    }

    /// \returns whether each key was held by at most one call at all times.
    bool run(const Steps& steps)
    {
        for (const auto& it : steps) {
            apply(it);
            if (!eachKeyHeldOnce())
                return false;
        }
        return true;
    }

    /// Ends all faults.
    /// \returns whether a call that then claims a new key is granted it.
    bool grantsAfterFaults()
    {
        for (std::size_t i = 0; i < 60; ++i) {
            finishOperations();
            tick(500ms);
        }
        const auto call = claim(0, "fresh");
        for (std::size_t i = 0; i < 20 && m_calls[call].state == State::Asking; ++i) {
            finishOperations();
            tick(100ms);
        }
        return m_calls[call].state == State::Holding;
    }

private:
    enum class State : std::uint8_t { Asking,
        Holding,
        MayHaveRun,
        DidNotRun };

    struct Call {
        IntentKey key;
        RequestId request;
        State state = State::Asking;
    };
    /// An outstanding append or read. An append takes effect in one step, and its answer arrives in a later one.
    struct Operation {
        std::size_t owner = 0;
        int incarnation = 0;
        LedgerCommand command;
        std::optional<publication::Offset> offset;
    };

    void apply(const Step& step)
    {
        const auto detail = step.detail;
        switch (step.action) {
        case Claim:
            claim(detail % 2, detail / 2 % 3 == 0 ? "other" : "key");
            break;
        case StepOperation:
            if (!m_operations.empty())
                stepOperation(detail % m_operations.size());
            break;
        case StepLatest:
            if (!m_operations.empty())
                stepOperation(m_operations.size() - 1);
            break;
        case FailOperation:
            if (!m_operations.empty())
                loseAnswer(m_operations[detail % m_operations.size()]);
            break;
        case Tick:
            tick(std::chrono::milliseconds { 10 * (detail % 300) });
            break;
        case Kill:
            if (detail % 4 == 0)
                restart(detail / 4 % 2);
            break;
        case End:
            if (!m_calls.empty())
                end(m_calls[detail % m_calls.size()], detail / 100 % 3, detail % 2);
            break;
        default:
            if (!m_pages.empty())
                repeatPage(detail);
            break;
        }
    }

    std::size_t claim(std::size_t owner, const char* key)
    {
        Call call;
        call.key = intentKeyOf(RouteName { "book" }, IdempotencyKey { key });
        call.request = RequestId { "r" + std::to_string(m_calls.size()) };
        m_calls.push_back(call);
        take(owner, m_ledgers[owner]->onClaim({ call.key, call.request, m_now + 3s }, m_now));
        return m_calls.size() - 1;
    }

    void end(Call& call, std::uint32_t how, std::size_t owner)
    {
        if (call.state != State::Holding && call.state != State::Asking)
            return;
        // A call that was not granted its key cannot have run.
        const bool mayHaveRun = call.state == State::Holding && how != 0;
        call.state = mayHaveRun ? State::MayHaveRun : State::DidNotRun;
        const auto outcome = !mayHaveRun ? Outcome::NotRun : (how == 1 ? Outcome::Ran : Outcome::Unknown);
        take(owner, m_ledgers[owner]->onCallEnded({ call.key, call.request, outcome }, m_now));
    }

    void stepOperation(std::size_t index)
    {
        auto& it = m_operations[index];
        if (const auto* append = std::get_if<AppendIntents>(&it.command); append && !it.offset) {
            it.offset = m_log.append(append->partition, append->bytes);
            return;
        }
        const auto operation = it;
        m_operations.erase(m_operations.begin() + static_cast<std::ptrdiff_t>(index));
        deliver(operation);
    }

    void deliver(const Operation& it)
    {
        if (it.incarnation != m_incarnations[it.owner])
            return;
        auto& ledger = *m_ledgers[it.owner];
        if (const auto* append = std::get_if<AppendIntents>(&it.command)) {
            take(it.owner, ledger.onAppended(append->partition, append->batch, *it.offset, m_now));
            return;
        }
        const auto& read = std::get<ReadIntents>(it.command);
        const auto page = m_log.read(read.partition, read.from);
        m_pages.push_back({ read.partition, page });
        take(it.owner, ledger.onRead(read.partition, page, m_now));
    }

    /// A failure is reported to the owner; the append may still take effect later.
    void loseAnswer(const Operation& it)
    {
        if (it.incarnation != m_incarnations[it.owner])
            return;
        const auto operation = it;
        auto& ledger = *m_ledgers[operation.owner];
        if (const auto* append = std::get_if<AppendIntents>(&operation.command))
            take(operation.owner, ledger.onAppendFailed(append->partition, append->batch, m_now));
        else
            take(operation.owner, ledger.onReadFailed(std::get<ReadIntents>(operation.command).partition, m_now));
    }

    void repeatPage(std::uint32_t detail)
    {
        const auto& [partition, page] = m_pages[detail % m_pages.size()];
        const auto owner = detail % 2;
        take(owner, m_ledgers[owner]->onRead(partition, page, m_now));
    }

    void finishOperations()
    {
        while (!m_operations.empty())
            stepOperation(0);
    }

    void tick(std::chrono::milliseconds time)
    {
        m_now += time;
        for (std::size_t i = 0; i < m_ledgers.size(); ++i)
            take(i, m_ledgers[i]->onTick(m_now));
    }

    void restart(std::size_t owner)
    {
        ++m_incarnations[owner];
        const auto incarnation = static_cast<std::uint64_t>(m_incarnations[owner]);
        m_ledgers[owner].emplace(NodeName { "owner-" + std::to_string(owner) }, Incarnation { incarnation });
    }

    void take(std::size_t owner, const LedgerCommands& commands)
    {
        for (const auto& it : commands) {
            if (const auto* answer = std::get_if<AnswerClaim>(&it))
                takeAnswer(*answer);
            else
                m_operations.push_back({ owner, m_incarnations[owner], it, std::nullopt });
        }
    }

    void takeAnswer(const AnswerClaim& answer)
    {
        for (auto& call : m_calls) {
            if (call.request != answer.request || call.state != State::Asking)
                continue;
            const bool granted = answer.result.answer == ClaimStatus::Granted;
            call.state = granted ? State::Holding : State::DidNotRun;
        }
    }

    bool eachKeyHeldOnce() const
    {
        std::map<IntentKey, int> holders;
        for (const auto& call : m_calls) {
            if (call.state == State::Holding || call.state == State::MayHaveRun)
                ++holders[call.key];
        }
        return std::all_of(holders.begin(), holders.end(), [](const auto& it) { return it.second <= 1; });
    }

    FakeIntentLog m_log;
    MonotonicTime m_now { 1000s };
    std::array<std::optional<Ledger>, 2> m_ledgers;
    std::array<int, 2> m_incarnations {};
    std::vector<Operation> m_operations;
    std::vector<std::pair<Partition, IntentPage>> m_pages;
    std::vector<Call> m_calls;
};

}
