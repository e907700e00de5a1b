#include "carobpath/distribution/ReaderElection.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace carobpath::distribution {

namespace {

    constexpr std::size_t domains = 3;

    NodeName nameOf(std::size_t node) { return NodeName { "node-" + std::to_string(node) }; }
    FailureDomainName domainOf(std::size_t node) { return FailureDomainName { "domain-" + std::to_string(node % domains) }; }

    membership::MembershipView viewOf(std::size_t nodes)
    {
        membership::MembershipView view;
        for (std::size_t i = 0; i < nodes; ++i) {
            membership::KnownNode node;
            node.entry.name = nameOf(i);
            node.entry.domain = domainOf(i);
            view.nodes.push_back(std::move(node));
        }
        return view;
    }

    std::size_t pollingNodes(const membership::MembershipView& view, const StoreLoad& load)
    {
        std::size_t count = 0;
        for (const auto& it : view.nodes)
            count += isPollingNode(view, it.entry.name, it.entry.domain, load) ? 1 : 0;
        return count;
    }

}

BOOST_AUTO_TEST_SUITE(Polling_nodes)

BOOST_AUTO_TEST_CASE(All_nodes_poll_a_store_that_answers_all_of_them_in_time)
{
    BOOST_TEST(pollingNodes(viewOf(15), { 1e8, 50'000 }) == 15U);
}

BOOST_AUTO_TEST_CASE(No_more_nodes_poll_than_the_store_answers_in_time)
{
    const StoreLoad load { 1e8, 500'000 };
    const double seconds = std::chrono::duration<double> { pollAnswerTime }.count();
    const auto polling = pollingNodes(viewOf(300), load);
    BOOST_TEST(static_cast<double>(polling * load.recordBytes) <= load.bytesPerSecond * seconds);
    BOOST_TEST(polling > domains * logReadersPerDomain);
}

BOOST_AUTO_TEST_CASE(The_log_readers_of_each_failure_domain_poll_however_large_a_record_is)
{
    const auto view = viewOf(300);
    const StoreLoad load { 1e6, 100'000'000 };
    BOOST_TEST(pollingNodes(view, load) == domains * logReadersPerDomain);
    for (const auto* it : logReaders(view))
        BOOST_TEST(isPollingNode(view, it->entry.name, it->entry.domain, load));
}

BOOST_AUTO_TEST_CASE(All_nodes_poll_a_store_whose_rate_is_not_known)
{
    BOOST_TEST(pollingNodes(viewOf(300), { 0, 500'000 }) == 300U);
}

// Guards against a node that leaves and is told of nothing, since no peer pushes to it.
BOOST_AUTO_TEST_CASE(A_node_that_is_leaving_polls)
{
    auto view = viewOf(300);
    const StoreLoad load { 1e6, 100'000'000 };
    for (auto& it : view.nodes) {
        it.entry.leaving = true;
        BOOST_TEST(isPollingNode(view, it.entry.name, it.entry.domain, load));
        it.entry.leaving = false;
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
