#pragma once

/// \file
/// State machines for the tests.

#include "Samples.h"
#include "carobpath/publication/ConfigurationStateMachine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace carobpath::publication::samples {

/// A state machine with helpers that append records to it.
struct StateMachineFixture {
    ConfigurationStateMachine machine { trustedKeys() };

    ApplyOutcome apply(const Record& record) { return machine.apply(machine.next(), encodeRecord(record)); }
    ApplyOutcome publish(std::vector<Change> changes, std::optional<Offset> base = {})
    {
        return apply(publishRecord(machine.next() + 1, base.value_or(machine.next()), std::move(changes)));
    }
    ApplyOutcome publishAsAkwapim(std::vector<Change> changes)
    {
        return apply(akwapimRecord(machine.next() + 1, machine.next(), std::move(changes)));
    }
    const ConfigurationSet& set() const { return machine.current()->set; }
    const MoveEntry& move(const std::string& name) const { return set().moves.at(MoveName { name }); }
    VersionName currentOf(const std::string& service) const { return set().services.at(ServiceName { service }).currentVersion; }
};

/// Offset 0: service booking on booking-1; offset 1: version booking-2; offset 2: Akwapim's service maps.
struct PopulatedFixture : StateMachineFixture {
    PopulatedFixture()
    {
        publish(bookingChanges());
        publish({ PutVersion { version("booking-2", "booking") } });
        publishAsAkwapim({ PutVersion { version("maps-1", "maps", akwapim) }, PutService { service("maps", "maps-1", akwapim) } });
    }

    Offset startMove(const std::string& name, const std::string& to = "booking-2")
    {
        const Offset at = machine.next();
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
