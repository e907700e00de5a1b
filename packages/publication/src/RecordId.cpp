#include "carobpath/publication/RecordId.h"

#include "carobpath/publication/ObjectRef.h"

#include <charconv>

namespace carobpath::publication {

namespace {

    std::optional<std::uint64_t> numberFrom(std::string_view text)
    {
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

}

std::string toString(const RecordId& it)
{
    return it.writer + ":" + std::to_string(it.incarnation.value) + ":" + std::to_string(it.sequence);
}

std::optional<RecordId> recordIdFromString(std::string_view text)
{
    const auto first = text.find(':');
    const auto second = first == std::string_view::npos ? first : text.find(':', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    const auto writer = text.substr(0, first);
    const auto incarnation = numberFrom(text.substr(first + 1, second - first - 1));
    const auto sequence = numberFrom(text.substr(second + 1));
    if (!isValidName(writer) || !incarnation || !sequence)
        return std::nullopt;
    return RecordId { std::string { writer }, { *incarnation }, *sequence };
}

}
