#pragma once

#include "internal/KeyedReader.h"

namespace carobpath::node::Detail {

/// \returns hooks that accept every record and ignore every report, for a test to replace those that it looks at.
inline KeyedReaderHooks ignoringHooks()
{
    KeyedReaderHooks hooks;
    hooks.onRecord = [](const publication::KeyedRecord&) { return true; };
    hooks.onEnd = [] {};
    hooks.onAvailable = [](bool, const publication::LogFailure&) {};
    hooks.stream.onPosition = [](publication::StreamPosition) {};
    hooks.stream.onEndChecked = [](publication::StreamPosition) {};
    hooks.stream.onReadAbandoned = [](const AbandonedRead&) {};
    hooks.stream.onReadFailed = [](const FailedRead&) {};
    hooks.stream.onSkipped = [](std::size_t) {};
    return hooks;
}

/// \returns a hook that accepts every record and appends its value to the list, which must outlive it.
inline std::function<bool(const publication::KeyedRecord&)> appendValuesTo(std::vector<std::string>& values)
{
    return [&values](const publication::KeyedRecord& record) {
        values.push_back(record.value.value_or(""));
        return true;
    };
}

}
