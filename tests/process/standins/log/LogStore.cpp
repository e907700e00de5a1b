#include "LogStore.h"

#include "carobpath/platform/RecordFrames.h"

#include <algorithm>

namespace carobpath::standins {

namespace {

    constexpr std::string_view keyedPrefix = "keyed.";

}

AppendReply LogStore::append(const std::string& topic, const std::vector<std::string>& records, std::optional<std::uint64_t> at,
    const std::optional<Producer>& producer, MonotonicTime now)
{
    Topic& it = trimmed(topic, now);
    if (producer) {
        if (auto reply = checkProducer(it, *producer))
            return *reply;
    }
    if (at && *at != it.next())
        return { AppendOutcome::ConditionFailed, 0, it.next(), 0 };
    AppendReply reply { AppendOutcome::Done, it.next(), 0, 0 };
    for (const auto& body : records) {
        it.records.push_back({ it.next(), body, now });
        if (topic.starts_with(keyedPrefix))
            keepNewest(it, it.records.back());
    }
    reply.end = it.next();
    if (producer) {
        auto& state = it.producers[producer->name];
        state.epoch = producer->epoch;
        state.sequence = producer->sequence;
        state.replies.emplace_back(producer->sequence, reply);
        if (state.replies.size() > s_repeatsKnown)
            state.replies.pop_front();
    }
    return reply;
}

std::optional<AppendReply> LogStore::checkProducer(Topic& topic, const Producer& producer)
{
    const auto known = topic.producers.find(producer.name);
    if (known == topic.producers.end() || producer.epoch > known->second.epoch)
        return std::nullopt;
    const auto& state = known->second;
    if (producer.epoch < state.epoch)
        return AppendReply { AppendOutcome::Fenced, 0, topic.next(), 0 };
    for (const auto& [sequence, reply] : state.replies) {
        if (sequence == producer.sequence)
            return reply;
    }
    if (producer.sequence != state.sequence + 1)
        return AppendReply { AppendOutcome::OutOfSequence, 0, topic.next(), state.sequence + 1 };
    return std::nullopt;
}

void LogStore::keepNewest(Topic& topic, const LogRecord& record)
{
    const auto keyed = platform::readKeyedContent(record.body, record.offset);
    if (!keyed)
        return;
    if (keyed->value)
        topic.newest[keyed->key] = { record.offset, *keyed->value };
    else
        topic.newest.erase(keyed->key);
}

std::variant<LogPage, LogTrimmed> LogStore::read(const std::string& topic, std::uint64_t from, std::size_t bytes, MonotonicTime now)
{
    const Topic& it = trimmed(topic, now);
    if (from < it.first || from > it.next())
        return LogTrimmed { it.first };
    LogPage page { it.first, it.next(), {} };
    std::size_t sum = 0;
    for (auto offset = from; offset < it.next(); ++offset) {
        const auto& record = it.records[offset - it.first];
        sum += record.body.size();
        if (!page.records.empty() && sum > bytes)
            break;
        page.records.push_back(record);
    }
    return page;
}

void LogStore::trim(const std::string& topic, std::uint64_t before)
{
    Topic& it = m_topics[topic];
    while (!it.records.empty() && it.first < before) {
        it.records.pop_front();
        ++it.first;
    }
}

void LogStore::forgetSince(MonotonicTime time)
{
    for (auto& [name, topic] : m_topics) {
        forgetSince(topic, time);
        if (!name.starts_with(keyedPrefix))
            continue;
        for (const auto& record : topic.records)
            keepNewest(topic, record);
    }
}

void LogStore::forgetSince(Topic& topic, MonotonicTime time)
{
    while (!topic.records.empty() && topic.records.back().appendedAt > time)
        topic.records.pop_back();
    std::erase_if(topic.newest, [&](const auto& it) { return it.second.offset >= topic.next(); });
    topic.producers.clear();
}

LogStore::Topic& LogStore::trimmed(const std::string& topic, MonotonicTime now)
{
    Topic& it = m_topics[topic];
    while (!it.records.empty() && it.records.front().appendedAt + m_retention <= now) {
        it.records.pop_front();
        ++it.first;
    }
    return it;
}

}
