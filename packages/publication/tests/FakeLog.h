#pragma once

#include "carobpath/publication/LogService.h"

#include <algorithm>
#include <deque>
#include <functional>

namespace carobpath::publication {

/// An in-memory log with fault injection.
class FakeLog {
public:
    enum class Fault : std::uint8_t {
        None,
        /// The operation has no effect, and the caller is told so.
        Down,
        /// The record is appended, but the answer is lost.
        AnswerLost,
        /// The request is lost: the record is not appended, and the caller gets no answer.
        RequestLost,
        /// The record is appended only after the next one, and its answer is lost.
        Delayed,
        Refused,
        /// The answer to a read lacks its first record.
        Gap,
    };

    /// Faults of the next appends and reads, one for each operation; operations after these succeed.
    std::deque<Fault> appendFaults;
    std::deque<Fault> readFaults;
    /// Called before an append takes effect.
    std::function<void()> beforeAppend;
    std::vector<LogRecord> records;
    Offset first = 0;

    Offset next() const { return m_next; }

    Offset take(std::string bytes)
    {
        records.push_back({ m_next, std::move(bytes) });
        return m_next++;
    }

    void trim(Offset newFirst)
    {
        first = newFirst;
        std::erase_if(records, [&](const LogRecord& it) { return it.offset < first; });
    }

    AppendResult append(const std::string& bytes)
    {
        if (const auto hook = std::exchange(beforeAppend, nullptr))
            hook();
        switch (pop(appendFaults)) {
        case Fault::Down:
            return LogFailure { LogError::Unavailable, 503 };
        case Fault::RequestLost:
            return LogFailure { LogError::AnswerLost, 0 };
        case Fault::Delayed:
            m_delayed = bytes;
            return LogFailure { LogError::AnswerLost, 0 };
        case Fault::AnswerLost:
            take(bytes);
            return LogFailure { LogError::AnswerLost, 0 };
        case Fault::Refused:
            return LogFailure { LogError::Refused, 413 };
        case Fault::None:
        case Fault::Gap:
            break;
        }
        const Appended appended { take(bytes) };
        if (!m_delayed.empty())
            take(std::exchange(m_delayed, {}));
        return appended;
    }

    ReadResult read(Offset from, std::size_t limit)
    {
        const auto fault = pop(readFaults);
        if (fault != Fault::None && fault != Fault::Gap)
            return LogFailure { LogError::TimedOut, 0 };
        if (from < first)
            return Trimmed { first };
        LogBatch batch { first, m_next, {} };
        std::copy_if(records.begin(), records.end(), std::back_inserter(batch.records), [&](const LogRecord& it) { return it.offset >= from; });
        if (fault == Fault::Gap && !batch.records.empty())
            batch.records.erase(batch.records.begin());
        batch.records.resize(std::min(limit, batch.records.size()));
        return batch;
    }

private:
    static Fault pop(std::deque<Fault>& faults)
    {
        if (faults.empty())
            return Fault::None;
        const auto fault = faults.front();
        faults.pop_front();
        return fault;
    }

    Offset m_next = 0;
    std::string m_delayed;
};

}
