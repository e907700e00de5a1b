#include "carobpath/foundation/SettingsFault.h"

#include "carobpath/foundation/EnumTable.h"

namespace carobpath {

namespace {

    constexpr std::array<EnumRow<SettingsFaultKind>, 16> kindTexts { {
        { SettingsFaultKind::UnreadableFile, "unreadable-file" },
        { SettingsFaultKind::Syntax, "syntax" },
        { SettingsFaultKind::UnknownKey, "unknown-key" },
        { SettingsFaultKind::MissingKey, "missing-key" },
        { SettingsFaultKind::Duplicate, "duplicate" },
        { SettingsFaultKind::WrongType, "wrong-type" },
        { SettingsFaultKind::OutOfBounds, "out-of-bounds" },
        { SettingsFaultKind::BadName, "bad-name" },
        { SettingsFaultKind::BadEndpoint, "bad-endpoint" },
        { SettingsFaultKind::BadDuration, "bad-duration" },
        { SettingsFaultKind::BadSize, "bad-size" },
        { SettingsFaultKind::BadInteger, "bad-integer" },
        { SettingsFaultKind::BadDecimal, "bad-decimal" },
        { SettingsFaultKind::BadChoice, "bad-choice" },
        { SettingsFaultKind::BadKey, "bad-key" },
        { SettingsFaultKind::Conflict, "conflict" },
    } };

}

std::string_view toString(SettingsFaultKind kind) { return enumText(kindTexts, kind); }

std::string toString(const SettingsFault& fault)
{
    std::string text = fault.file;
    if (fault.line > 0)
        text += ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column);
    text += ": ";
    if (!fault.key.empty())
        text += fault.key + ": ";
    return text + fault.detail + " (" + std::string(toString(fault.kind)) + ")";
}

}
