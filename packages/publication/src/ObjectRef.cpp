#include "carobpath/publication/ObjectRef.h"

#include "carobpath/foundation/EnumTable.h"
#include "carobpath/publication/Bounds.h"

#include <algorithm>

namespace carobpath::publication {

namespace {

    constexpr std::array<EnumRow<ObjectKind>, 4> objectKinds { {
        { ObjectKind::Service, "service" },
        { ObjectKind::Route, "route" },
        { ObjectKind::Version, "version" },
        { ObjectKind::Move, "move" },
    } };

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    }

}

std::string_view toString(ObjectKind it) { return enumText(objectKinds, it); }
std::optional<ObjectKind> objectKindFromString(std::string_view text) { return enumValue(objectKinds, text); }

std::string toString(const ObjectRef& it)
{
    return std::string { toString(it.kind) } + "/" + it.name;
}

std::optional<ObjectRef> objectRefFromString(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto kind = objectKindFromString(text.substr(0, slash));
    const auto name = text.substr(slash + 1);
    if (!kind || !isValidName(name))
        return std::nullopt;
    return ObjectRef { *kind, std::string { name } };
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= bounds::nameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

}
