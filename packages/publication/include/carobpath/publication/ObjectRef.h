#pragma once

#include "carobpath/publication/Objects.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath::publication {

enum class ObjectKind : std::uint8_t {
    Service,
    Route,
    Version,
    Move,
};

/// Identifies one object of any kind.
struct ObjectRef {
    ObjectKind kind = ObjectKind::Service;
    std::string name;

    friend auto operator<=>(const ObjectRef&, const ObjectRef&) = default;
};

inline ObjectRef refOf(const ServiceName& it) { return { ObjectKind::Service, it.value() }; }
inline ObjectRef refOf(const RouteName& it) { return { ObjectKind::Route, it.value() }; }
inline ObjectRef refOf(const VersionName& it) { return { ObjectKind::Version, it.value() }; }
inline ObjectRef refOf(const MoveName& it) { return { ObjectKind::Move, it.value() }; }

/// \returns "service", "route", "version" or "move".
std::string_view toString(ObjectKind);
std::optional<ObjectKind> objectKindFromString(std::string_view);

/// \returns "kind/name", such as "route/booking-create".
std::string toString(const ObjectRef&);
/// Reads "kind/name". \returns an empty value if the kind is unknown or the name is invalid.
std::optional<ObjectRef> objectRefFromString(std::string_view);

/// \returns whether the text consists of 1 to 64 characters from a-z, 0-9, '.', '_' and '-'.
bool isValidName(std::string_view);

}
