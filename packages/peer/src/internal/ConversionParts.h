#pragma once

/// \file
/// Parts that all conversions share.

#include "Conversions.h"
#include "carobpath/foundation/Identifier.h"

#include <string>

namespace carobpath::peer::Detail {

inline kj::StringPtr textOf(const std::string& text)
{
    return { text.c_str(), text.size() };
}

template <typename Tag>
kj::StringPtr textOf(const Identifier<Tag>& name)
{
    return textOf(name.value());
}

inline boost::leaf::error_id malformed(MessageFault fault)
{
    return boost::leaf::new_error(MessageError { fault });
}

/// \returns a name that may be empty.
template <typename Name>
Result<Name> readOptionalName(capnp::Text::Reader text)
{
    if (text.size() > maxNameLength)
        return malformed(MessageFault::NameTooLong);
    return Name { std::string(text.begin(), text.size()) };
}

template <typename Name>
Result<Name> readName(capnp::Text::Reader text)
{
    if (text.size() == 0)
        return malformed(MessageFault::NameMissing);
    return readOptionalName<Name>(text);
}

void writeStamp(const publication::ConfigurationStamp&, schema::Stamp::Builder);
Result<publication::ConfigurationStamp> readStamp(schema::Stamp::Reader);

template <typename Items, typename ListBuilder>
void writeAll(const Items& items, ListBuilder list)
{
    unsigned index = 0;
    for (const auto& it : items)
        write(it, list[index++]);
}

template <typename Item, typename ListReader>
Result<std::vector<Item>> readAll(ListReader list)
{
    if (list.size() > maxListLength)
        return malformed(MessageFault::TooManyEntries);
    std::vector<Item> items;
    items.reserve(list.size());
    for (const auto it : list) {
        BOOST_LEAF_AUTO(item, read(it));
        items.push_back(std::move(item));
    }
    return items;
}

}
