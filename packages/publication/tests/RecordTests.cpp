#include "Samples.h"
#include "carobpath/publication/Bounds.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <random>

namespace carobpath::publication {

using namespace samples;

namespace {

    std::optional<CodecFault> faultOf(std::string_view text)
    {
        std::optional<CodecFault> fault;
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                auto record = decodeRecord(text);
                if (!record)
                    return record.error();
                return {};
            },
            [&](const CodecError& it) { fault = it.fault; },
            [] {});
        return fault;
    }

    PublishRecord everyChange()
    {
        auto changes = bookingChanges();
        changes.emplace_back(PutMove { move("m", "booking", "booking-2") });
        changes.emplace_back(DeleteObject { { ObjectKind::Route, "old" } });
        return publishRecord(7, 3, std::move(changes));
    }

    CheckpointRecord checkpoint()
    {
        ReplicatedState state;
        state.set.versions.emplace(VersionName { "v" }, VersionEntry { version("v", "s"), 2 });
        state.set.moves.emplace(MoveName { "m" }, MoveEntry { move("m", "s", "v"), VersionName { "u" }, 1, 2, MoveVerdict {} });
        state.stamp = ConfigurationStamp { 2, digestOfSet(state.set) };
        state.next = 3;
        state.records.push_back({ petra, recordId(1), 1, true });
        state.deletions.push_back({ { ObjectKind::Route, "r" }, 2 });
        return sign(CheckpointRecord { recordId(1, "node-1"), NodeName { "node-1" }, WallTime {}, state, {} }, fleetKey());
    }

}

BOOST_AUTO_TEST_SUITE(Records)

BOOST_AUTO_TEST_CASE(Every_kind_of_record_is_unchanged_after_encoding_and_decoding)
{
    const std::array<Record, 3> records { everyChange(), verdictRecord("m", 4, MoveOutcome::TakenBack), checkpoint() };
    for (const auto& record : records) {
        const auto decoded = decodeRecord(encodeRecord(record));
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((decoded.value() == record));
        BOOST_TEST(verify(decoded.value(), trustedKeys()));
    }
}

BOOST_AUTO_TEST_CASE(Text_that_is_not_a_canonical_record_is_rejected_with_its_fault)
{
    const std::string good = encodeRecord(Record { everyChange() });
    std::string withKey = good;
    withKey.insert(1, "\"aaa\":1,");
    std::string floating = good;
    floating.replace(floating.find("\"base\":3"), 8, "\"base\":3.5");
    std::string negative = good;
    negative.replace(negative.find("\"base\":3"), 8, "\"base\":-3");
    struct Row {
        std::string text;
        CodecFault fault;
    };
    const std::vector<Row> rows {
        { "", CodecFault::NotJson },
        { "{", CodecFault::NotJson },
        { "\xff", CodecFault::NotJson },
        { std::string(100000, '['), CodecFault::NotJson },
        { "[]", CodecFault::WrongShape },
        { std::string(300000, '[') + std::string(300000, ']'), CodecFault::WrongShape },
        { "{\"kind\":\"other\"}", CodecFault::WrongShape },
        { "{\"body\":{},\"kind\":\"publish\",\"signature\":\"\"}", CodecFault::WrongShape },
        { " " + good, CodecFault::NotCanonical },
        { good.substr(0, good.size() - 1), CodecFault::NotJson },
        { withKey, CodecFault::NotCanonical },
        { floating, CodecFault::NotCanonical },
        { negative, CodecFault::NotCanonical },
        { std::string(bounds::checkpointBytes + 1, ' '), CodecFault::TooLarge },
    };
    for (const auto& row : rows)
        BOOST_TEST((faultOf(row.text) == row.fault), row.text.substr(0, 60));
}

BOOST_AUTO_TEST_CASE(A_signed_record_with_one_changed_byte_is_not_accepted)
{
    std::mt19937_64 random { 7 };
    const auto keys = trustedKeys();
    const std::array<std::string, 3> texts { encodeRecord(Record { everyChange() }), encodeRecord(Record { verdictRecord("m", 4, MoveOutcome::TakenBack) }), encodeRecord(Record { checkpoint() }) };
    for (int i = 0; i < 3000; ++i) {
        std::string text = texts.at(random() % texts.size());
        auto& byte = text.at(random() % text.size());
        byte = static_cast<char>(byte ^ static_cast<char>(1 + random() % 255));
        const auto record = decodeRecord(text);
        BOOST_TEST((!record || !verify(record.value(), keys)));
    }
}

BOOST_AUTO_TEST_CASE(A_publish_record_above_its_size_limit_is_rejected_although_a_checkpoint_may_be_larger)
{
    auto record = everyChange();
    while (encodeRecord(Record { record }).size() <= bounds::recordBytes)
        record.changes.insert(record.changes.end(), 500, record.changes.front());
    BOOST_TEST((faultOf(encodeRecord(Record { record })) == CodecFault::TooLarge));
}

BOOST_AUTO_TEST_CASE(A_signature_is_valid_only_for_its_own_member_and_content)
{
    auto changed = everyChange();
    changed.base = 4;
    BOOST_TEST(!verify(changed, trustedKeys()));

    auto claimed = everyChange();
    claimed.member = akwapim;
    BOOST_TEST(!verify(claimed, trustedKeys()));

    const auto byMember = sign(verdictRecord("m", 4, MoveOutcome::Done), petraKey());
    BOOST_TEST(!verify(byMember, trustedKeys()));
}

BOOST_AUTO_TEST_CASE(A_client_without_the_fleet_key_accepts_only_records_of_nodes_without_verification)
{
    TrustedKeys keys;
    BOOST_TEST(!verify(verdictRecord("m", 4, MoveOutcome::Done), keys));
    keys.trustAnyFleet();
    BOOST_TEST(verify(verdictRecord("m", 4, MoveOutcome::Done), keys));
    BOOST_TEST(!verify(everyChange(), keys));
}

BOOST_AUTO_TEST_CASE(Keys_and_ids_are_unchanged_after_conversion_to_text_and_back)
{
    const auto pair = KeyPair::generate();
    BOOST_TEST((KeyPair::fromHex(pair.privateHex()).value().publicKey() == pair.publicKey()));
    BOOST_TEST((publicKeyFromHex(toHex(pair.publicKey())).value() == pair.publicKey()));
    BOOST_TEST(!KeyPair::fromHex("12").has_value());
    BOOST_TEST((recordIdFromString(toString(recordId(9))) == recordId(9)));
    for (const auto* text : { "", "a:1", "a:1:", "a:1:x", "A:1:1", ":1:1", "a:1:1:1" })
        BOOST_TEST(!recordIdFromString(text), text);
}

BOOST_AUTO_TEST_SUITE_END()

}
