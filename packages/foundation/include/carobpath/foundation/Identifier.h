#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace carobpath {

/// A name whose kind is part of its type, so that a route is never passed for a service.
/// \tparam Tag an incomplete type that stands for the kind.
template <typename Tag>
class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const Identifier&, const Identifier&) = default;
    friend bool operator==(const Identifier&, const Identifier&) = default;
    friend std::ostream& operator<<(std::ostream& out, const Identifier& it) { return out << it.m_value; }

private:
    std::string m_value;
};

/// A business of the consortium that publishes objects of its own.
using MemberName = Identifier<struct MemberTag>;
/// A customer whose callers identify themselves by API keys; unlike a member, it publishes nothing.
using WorkspaceName = Identifier<struct WorkspaceTag>;
using ServiceName = Identifier<struct ServiceTag>;
using RouteName = Identifier<struct RouteTag>;
/// A backend server version of one service.
using VersionName = Identifier<struct VersionTag>;
using MoveName = Identifier<struct MoveTag>;
/// A node: the daemon beside one backend server instance.
using NodeName = Identifier<struct NodeTag>;
using FailureDomainName = Identifier<struct FailureDomainTag>;
using RegionName = Identifier<struct RegionTag>;
/// One caller's call, unique over all nodes; echoed in every answer to it.
using RequestId = Identifier<struct RequestTag>;
/// Chosen by the caller; two calls of one route with the same key are one call.
using IdempotencyKey = Identifier<struct IdempotencyKeyTag>;

}

template <typename Tag>
struct std::hash<carobpath::Identifier<Tag>> {
    std::size_t operator()(const carobpath::Identifier<Tag>& it) const noexcept
    {
        return std::hash<std::string> {}(it.value());
    }
};
