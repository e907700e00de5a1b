#include "carobpath/peer/ExchangeRunner.h"

#include "carobpath/publication/Codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace carobpath::peer {

namespace {

    constexpr std::chrono::seconds hangBound { 30 };

    membership::NodeEntry entry(int index)
    {
        membership::NodeEntry it;
        it.name = NodeName { "node-" + std::to_string(index) };
        it.region = RegionName { "jordan" };
        it.domain = FailureDomainName { "amman-" + std::to_string(index % 2) };
        it.revision.incarnation = Incarnation { 1 };
        it.addresses.callers = { "127.0.0.1", 1 };
        it.addresses.calls = { "127.0.0.1", 2 };
        it.addresses.admin = { "127.0.0.1", 3 };
        return it;
    }

    publication::ConfigurationPointer configuration(publication::Offset offset)
    {
        auto version = std::make_shared<publication::ConfigurationVersion>();
        publication::ServiceEntry service;
        service.service.name = ServiceName { "booking" };
        service.service.member = MemberName { "petra" };
        service.service.initialVersion = VersionName { "booking-1" };
        service.currentVersion = VersionName { "booking-1" };
        service.changedAt = offset;
        version->set.services.emplace(service.service.name, service);
        version->stamp = { offset, publication::digestOfSet(version->set) };
        return version;
    }

    struct RunningNode {
        std::shared_ptr<ExchangeRunner> runner;
        publication::ConfigurationPointer inForce;
        std::size_t known = 0;
        bool reading = false;
    };

    /// Nodes on one thread that talk over loopback.
    struct Nodes {
        RunningNode& add(std::vector<Endpoint> seeds)
        {
            auto& node = *nodes.emplace_back(std::make_unique<RunningNode>());
            RunnerCallbacks callbacks;
            callbacks.onConfiguration = [&node](publication::ConfigurationPointer it) { node.inForce = std::move(it); };
            callbacks.onView = [&node](const auto& view) { node.known = view->nodes.size(); };
            callbacks.onReaderRole = [&node](bool it) { node.reading = it; };
            const int index = static_cast<int>(nodes.size());
            node.runner = ExchangeRunner::Builder(runtime).self(entry(index)).seeds(std::move(seeds)).random(std::mt19937_64(static_cast<std::uint64_t>(index))).callbacks(std::move(callbacks)).build();
            node.runner->start();
            return node;
        }

        template <typename Condition>
        bool runUntil(Condition condition)
        {
            const auto end = MonotonicClock::now() + hangBound;
            while (!condition() && MonotonicClock::now() < end)
                context.run_one_for(std::chrono::milliseconds { 50 });
            return condition();
        }

        bool all(const std::function<bool(const RunningNode&)>& holds) const
        {
            return std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) { return holds(*it); });
        }

        boost::asio::io_context context;
        std::shared_ptr<PeerRuntime> runtime = std::make_shared<PeerRuntime>(context);
        std::vector<std::unique_ptr<RunningNode>> nodes;
    };

}

BOOST_FIXTURE_TEST_SUITE(Runners, Nodes)

BOOST_AUTO_TEST_CASE(Nodes_find_each_other_by_one_seed_and_take_what_the_reader_folds)
{
    auto& first = add({});
    for (int i = 0; i < 4; ++i)
        add({ first.runner->endpoint() });
    BOOST_TEST(runUntil([&] { return all([](const auto& it) { return it.known == 5; }); }));
    BOOST_TEST(runUntil([&] { return first.reading; }));

    first.runner->reportLogEnd();
    first.runner->publishConfiguration(configuration(4));
    BOOST_TEST(runUntil([&] { return all([](const auto& it) { return it.inForce && it.inForce->stamp.offset == 4; }); }));

    first.runner->publishConfiguration(configuration(5));
    BOOST_TEST(runUntil([&] { return all([](const auto& it) { return it.inForce->stamp.offset == 5; }); }));
}

BOOST_AUTO_TEST_CASE(A_leaving_node_is_known_to_leave_before_it_stops)
{
    auto& first = add({});
    auto& second = add({ first.runner->endpoint() });
    BOOST_TEST(runUntil([&] { return all([](const auto& it) { return it.known == 2; }); }));

    second.runner->leave();
    const auto isLeaving = [&] {
        const auto* held = first.runner->exchange().members().find(NodeName { "node-2" });
        return held && held->entry.leaving;
    };
    BOOST_TEST(runUntil(isLeaving));
}

BOOST_AUTO_TEST_SUITE_END()

}
