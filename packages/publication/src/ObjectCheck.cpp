#include "carobpath/publication/SetCheck.h"

#include "carobpath/publication/Bounds.h"

#include <algorithm>
#include <set>

namespace carobpath::publication {

namespace {

    bool isHostCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
    }

    bool isVisible(char c)
    {
        return c > ' ' && c < '\x7f' && c != '?' && c != '#';
    }

    bool isUpper(char c)
    {
        return c >= 'A' && c <= 'Z';
    }

    template <typename Predicate>
    bool consistsOf(std::string_view text, std::size_t maxLength, Predicate predicate)
    {
        return !text.empty() && text.size() <= maxLength && std::all_of(text.begin(), text.end(), predicate);
    }

    /// Collects the faults of one object.
    class Collector {
    public:
        explicit Collector(ObjectRef object)
            : m_object(std::move(object))
        {
        }

        void add(FaultKind kind, ObjectField field, std::string value = {})
        {
            Fault fault;
            fault.kind = kind;
            fault.object = m_object;
            fault.field = field;
            fault.value = std::move(value);
            m_faults.push_back(std::move(fault));
        }

        template <typename Tag>
        void checkName(const Identifier<Tag>& name, ObjectField field)
        {
            if (!isValidName(name.value()))
                add(FaultKind::BadName, field);
        }

        void checkUnique(const std::vector<std::string>& values, ObjectField field)
        {
            std::set<std::string_view> seen;
            for (const auto& it : values) {
                if (!seen.insert(it).second)
                    add(FaultKind::DuplicateName, field, it);
            }
        }

        Faults take() { return std::move(m_faults); }

    private:
        ObjectRef m_object;
        Faults m_faults;
    };

}

Faults checkObject(const Service& it)
{
    Collector faults { refOf(it.name) };
    faults.checkName(it.name, ObjectField::Name);
    faults.checkName(it.member, ObjectField::Member);
    faults.checkName(it.initialVersion, ObjectField::InitialVersion);
    if (it.hosts.size() > bounds::hostsPerService)
        faults.add(FaultKind::BoundExceeded, ObjectField::Hosts);
    for (const auto& host : it.hosts) {
        if (!consistsOf(host, bounds::hostLength, isHostCharacter))
            faults.add(FaultKind::BadHost, ObjectField::Hosts, host.substr(0, bounds::hostLength));
    }
    faults.checkUnique(it.hosts, ObjectField::Hosts);
    return faults.take();
}

Faults checkObject(const Route& it)
{
    Collector faults { refOf(it.name) };
    faults.checkName(it.name, ObjectField::Name);
    faults.checkName(it.member, ObjectField::Member);
    faults.checkName(it.service, ObjectField::Service);
    if (!consistsOf(it.pathPrefix, bounds::pathPrefixLength, isVisible) || it.pathPrefix.front() != '/')
        faults.add(FaultKind::BadPathPrefix, ObjectField::PathPrefix);
    if (it.methods.size() > bounds::methodsPerRoute)
        faults.add(FaultKind::BoundExceeded, ObjectField::Methods);
    for (const auto& method : it.methods) {
        if (!consistsOf(method, bounds::methodLength, isUpper))
            faults.add(FaultKind::BadMethod, ObjectField::Methods, method.substr(0, bounds::methodLength));
    }
    faults.checkUnique(it.methods, ObjectField::Methods);
    if (it.timeout < bounds::minRouteTimeout || it.timeout > bounds::maxRouteTimeout)
        faults.add(FaultKind::OutOfRange, ObjectField::Timeout);
    return faults.take();
}

Faults checkObject(const Version& it)
{
    Collector faults { refOf(it.name) };
    faults.checkName(it.name, ObjectField::Name);
    faults.checkName(it.member, ObjectField::Member);
    faults.checkName(it.service, ObjectField::Service);
    return faults.take();
}

Faults checkObject(const Move& it)
{
    Collector faults { refOf(it.name) };
    faults.checkName(it.name, ObjectField::Name);
    faults.checkName(it.member, ObjectField::Member);
    faults.checkName(it.service, ObjectField::Service);
    faults.checkName(it.to, ObjectField::To);
    // Without these limits the difference below could overflow.
    constexpr WallTime first {};
    constexpr WallTime last { std::chrono::hours { 24 * 365 * 400 } };
    if (it.startAt < first || it.startAt > last)
        faults.add(FaultKind::OutOfRange, ObjectField::StartAt);
    else if (it.deadline <= it.startAt)
        faults.add(FaultKind::DeadlineBeforeStart, ObjectField::Deadline);
    else if (it.deadline > last || it.deadline - it.startAt > bounds::maxMoveDuration)
        faults.add(FaultKind::OutOfRange, ObjectField::Deadline);
    return faults.take();
}

}
