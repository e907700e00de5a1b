#include "Samples.h"

#include "carobpath/publication/ConfigurationLogFollower.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::publication {

using namespace samples;

namespace {

    /// An in-memory log that can trim its oldest records.
    class RecordedLog {
    public:
        void append(const Record& record) { m_records.push_back(encodeRecord(record)); }
        void appendText(std::string text) { m_records.push_back(std::move(text)); }
        void trimTo(Offset first) { m_first = first; }
        Offset next() const { return m_records.size(); }

        /// Feeds the follower until it has reached the end of the log or the maximum number of reads.
        std::vector<AppliedRecord> feed(ConfigurationLogFollower& follower) const
        {
            std::vector<AppliedRecord> steps;
            for (int reads = 0; reads < s_maxReads; ++reads) {
                if (follower.nextRead() < m_first) {
                    follower.onTrimmed(Trimmed { m_first });
                    continue;
                }
                const auto more = follower.onBatch(batchFrom(follower.nextRead()));
                steps.insert(steps.end(), more.begin(), more.end());
                if (follower.nextRead() >= next())
                    break;
            }
            return steps;
        }

    private:
        static constexpr int s_maxReads = 100;
        static constexpr std::size_t s_batchRecords = 3;

        LogBatch batchFrom(Offset from) const
        {
            LogBatch batch;
            batch.first = m_first;
            batch.next = next();
            for (Offset at = from; at < next() && batch.records.size() < s_batchRecords; ++at)
                batch.records.push_back(LogRecord { at, m_records[at] });
            return batch;
        }

        Offset m_first = 0;
        std::vector<std::string> m_records;
    };

    PublishRecord versionRecord(std::uint64_t sequence, Offset base)
    {
        return publishRecord(sequence, base, { PutVersion { version("booking-" + std::to_string(sequence), "booking") } });
    }

    CheckpointRecord checkpointOf(const ConfigurationLogFollower& follower)
    {
        CheckpointRecord record;
        record.id = recordId(900, "node");
        record.writer = NodeName { "node" };
        record.state = follower.replicatedState().value();
        return sign(record, fleetKey());
    }

    /// A log of ten records: one that publishes the service, eight that publish a version each, and a checkpoint between them.
    RecordedLog logWithCheckpoint()
    {
        RecordedLog log;
        log.append(publishRecord(1, 0, bookingChanges()));
        for (std::uint64_t sequence = 2; sequence < 6; ++sequence)
            log.append(versionRecord(sequence, log.next()));
        ConfigurationLogFollower follower { trustedKeys() };
        log.feed(follower);
        log.append(checkpointOf(follower));
        for (std::uint64_t sequence = 6; sequence < 10; ++sequence)
            log.append(versionRecord(sequence, log.next()));
        return log;
    }

}

BOOST_AUTO_TEST_SUITE(ConfigurationLogFollowers)

BOOST_AUTO_TEST_CASE(A_reader_of_the_full_log_and_one_that_starts_from_a_checkpoint_reach_the_same_state)
{
    auto log = logWithCheckpoint();
    ConfigurationLogFollower full { trustedKeys() };
    log.feed(full);
    log.trimTo(5);
    ConfigurationLogFollower late { trustedKeys() };
    log.feed(late);

    BOOST_TEST(full.caughtUp());
    BOOST_TEST(late.caughtUp());
    BOOST_REQUIRE(late.current());
    BOOST_TEST((late.current()->stamp == full.current()->stamp));
    BOOST_TEST((late.replicatedState() == full.replicatedState()));
}

BOOST_AUTO_TEST_CASE(A_log_trimmed_past_its_last_checkpoint_is_reported_and_no_record_is_applied)
{
    auto log = logWithCheckpoint();
    log.trimTo(6);
    ConfigurationLogFollower late { trustedKeys() };
    const auto steps = log.feed(late);
    BOOST_TEST(steps.empty());
    BOOST_TEST((late.state() == FollowerState::NoCheckpoint));
    BOOST_TEST(!late.caughtUp());
    BOOST_TEST(!late.current());
}

BOOST_AUTO_TEST_CASE(A_checkpoint_that_needs_records_already_trimmed_is_skipped)
{
    auto log = logWithCheckpoint();
    ConfigurationLogFollower full { trustedKeys() };
    log.feed(full);
    const auto early = checkpointOf(full);
    log.append(versionRecord(10, log.next()));
    log.append(early);
    log.trimTo(11);
    ConfigurationLogFollower late { trustedKeys() };
    log.feed(late);
    BOOST_TEST((late.state() == FollowerState::NoCheckpoint));
}

BOOST_AUTO_TEST_CASE(A_forged_checkpoint_is_not_loaded)
{
    auto log = logWithCheckpoint();
    ConfigurationLogFollower full { trustedKeys() };
    log.feed(full);
    auto forged = checkpointOf(full);
    forged.state.set.services.clear();
    log.append(sign(forged, petraKey()));
    log.trimTo(10);
    ConfigurationLogFollower late { trustedKeys() };
    log.feed(late);
    BOOST_TEST((late.state() == FollowerState::NoCheckpoint));
}

BOOST_AUTO_TEST_CASE(A_follower_whose_next_record_was_trimmed_continues_from_a_checkpoint)
{
    auto log = logWithCheckpoint();
    RecordedLog beginning;
    beginning.append(publishRecord(1, 0, bookingChanges()));
    ConfigurationLogFollower follower { trustedKeys() };
    beginning.feed(follower);
    BOOST_TEST(follower.caughtUp());

    log.trimTo(5);
    log.feed(follower);

    ConfigurationLogFollower full { trustedKeys() };
    log.trimTo(0);
    log.feed(full);
    BOOST_TEST((follower.current()->stamp == full.current()->stamp));
}

BOOST_AUTO_TEST_SUITE_END()

}
