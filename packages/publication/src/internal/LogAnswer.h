#pragma once

#include "carobpath/publication/LogService.h"

#include <optional>
#include <string_view>

/// The bodies of the log's answers.
namespace carobpath::publication::Detail {

std::optional<Appended> readAppended(std::string_view body);
std::optional<Trimmed> readTrimmed(std::string_view body);
/// \returns nothing unless the records are in order and none is before the offset asked for.
std::optional<LogBatch> readBatch(std::string_view body, Offset from);

}
