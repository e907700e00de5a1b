#pragma once

#include "Samples.h"
#include "carobpath/publication/ConfigurationStateMachine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

/// A fold to publish to, for the tests of the fold.
namespace carobpath::publication::samples {

/// A fold with short ways to append to it.
struct Reader {
    ConfigurationStateMachine fold { trustedKeys() };

    ApplyOutcome apply(const Record& record) { return fold.apply(fold.next(), encodeRecord(record)); }
    ApplyOutcome publish(std::vector<Change> changes, std::optional<Offset> base = {})
    {
        return apply(publishRecord(fold.next() + 1, base.value_or(fold.next()), std::move(changes)));
    }
    ApplyOutcome publishAsAkwapim(std::vector<Change> changes)
    {
        return apply(akwapimRecord(fold.next() + 1, fold.next(), std::move(changes)));
    }
    const ConfigurationSet& set() const { return fold.current()->set; }
    const MoveEntry& move(const std::string& name) const { return set().moves.at(MoveName { name }); }
    VersionName currentOf(const std::string& service) const { return set().services.at(ServiceName { service }).currentVersion; }
};

/// Offset 0: service booking on booking-1; offset 1: version booking-2; offset 2: Akwapim's service maps.
struct Published : Reader {
    Published()
    {
        publish(bookingChanges());
        publish({ PutVersion { version("booking-2", "booking") } });
        publishAsAkwapim({ PutVersion { version("maps-1", "maps", akwapim) }, PutService { service("maps", "maps-1", akwapim) } });
    }

    Offset startMove(const std::string& name, const std::string& to = "booking-2")
    {
        const Offset at = fold.next();
        BOOST_REQUIRE(std::holds_alternative<Accepted>(publish({ PutMove { samples::move(name, "booking", to) } })));
        return at;
    }
};

inline bool hasFault(const ApplyOutcome& outcome, FaultKind kind)
{
    const auto* rejected = std::get_if<Rejected>(&outcome);
    return rejected && std::any_of(rejected->faults.begin(), rejected->faults.end(), [&](const Fault& it) { return it.kind == kind; });
}

inline DeleteObject deletion(ObjectKind kind, const std::string& name)
{
    return { { kind, name } };
}

}
