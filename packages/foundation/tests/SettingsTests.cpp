#include "carobpath/foundation/ClientSettings.h"
#include "carobpath/foundation/NodeSettings.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

using namespace carobpath;
using namespace std::chrono_literals;

namespace {

const std::string key(64, 'a');

const std::string goodNode = "node:\n"
                             "  name: booking-1\n"
                             "  region: jordan\n"
                             "  failure-domain: amman-a\n"
                             "listen: {calls: \"127.0.0.1:8001\", peer: \"127.0.0.1:0\"}\n"
                             "log:\n"
                             "  endpoints: [\"127.0.0.1:9000\"]\n"
                             "fleet-key: "
    + key + "\n"
            "members:\n"
            "  - name: petra\n"
            "    public-key: "
    + key + "\n";

/// \returns one line for each fault: "LINE:COLUMN KEY KIND".
template <typename Settings>
std::vector<std::string> faultsOf(Result<Settings> (*read)(std::string_view, const std::string&), const std::string& yaml)
{
    std::vector<std::string> lines;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(settings, read(yaml, "f.yaml"));
            static_cast<void>(settings);
            return {};
        },
        [&](const SettingsFaults& it) {
            for (const auto& fault : it.faults)
                lines.push_back(std::to_string(fault.line) + ":" + std::to_string(fault.column) + " " + fault.key + " " + std::string(toString(fault.kind)));
        },
        [&] { lines.emplace_back("unknown error"); });
    return lines;
}

using Faults = std::vector<std::string>;

void checkFaults(const std::string& yaml, const Faults& expected)
{
    const Faults seen = faultsOf(readNodeSettings, yaml);
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
}

class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& text)
        : m_path(std::filesystem::temp_directory_path() / ("carobpath-settings-" + std::to_string(::getpid())))
    {
        std::ofstream(m_path) << text;
    }
    ~TemporaryFile() { std::filesystem::remove(m_path); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

}

BOOST_AUTO_TEST_SUITE(Settings)

BOOST_AUTO_TEST_CASE(Settings_of_a_node_fill_what_is_absent_with_defaults)
{
    const auto settings = readNodeSettings(goodNode + "drain: {grace: 5s}\n", "f.yaml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->name.value() == "booking-1");
    BOOST_TEST(settings->members.front().publicKey.digits == key);
    BOOST_TEST((settings->drain.grace == 5s));
    BOOST_TEST(settings->listen.peer.port == 0);
    BOOST_TEST(settings->listen.callers.port == 8000);
    BOOST_TEST(settings->limits.callerConnections == 2000);
}

BOOST_AUTO_TEST_CASE(Every_fault_is_reported_at_its_line_and_column)
{
    checkFaults("node:\n"
                "  name: Booking_1\n"
                "  regoin: jordan\n"
                "  failure-domain: amman-a\n"
                "log:\n"
                "  endpoints: [\"loghost:9000\"]\n"
                "  retention: 5\n"
                "limits: {caller-connections: many, header-bytes: 5MiB}\n"
                "members: petra\n"
                "log-level: loud\n"
                "listen: {peer: \"0.0.0.0:1\"}\n",
        { "0:0 node.region missing-key", "0:0 listen.calls missing-key", "0:0 fleet-key missing-key", "2:9 node.name bad-name", "3:3 node.regoin unknown-key",
            "6:15 log.endpoints bad-endpoint", "7:14 log.retention bad-duration", "8:30 limits.caller-connections bad-integer",
            "8:50 limits.header-bytes out-of-bounds", "9:10 members wrong-type", "10:12 log-level bad-choice", "11:16 listen.peer bad-endpoint" });
}

BOOST_AUTO_TEST_CASE(Faults_of_the_file_itself_are_typed)
{
    checkFaults(goodNode + "fleet-key: " + key + "\n", { "12:1 fleet-key duplicate" });
    checkFaults(goodNode + "timeouts: {log: [1s]}\n", { "12:17 timeouts.log wrong-type" });
    checkFaults(goodNode + "timeouts: {log: }\n", { "12:17 timeouts.log wrong-type" });
    checkFaults(goodNode + "  - name: petra\n    public-key: " + key + "\n", { "12:11 members[1].name duplicate" });
    checkFaults(goodNode + "  - name: other\n    publik-key: " + key + "\n", { "0:0 members[1].public-key missing-key", "13:5 members[1].publik-key unknown-key" });
    checkFaults("node: [\n", { "2:1  syntax" });
    checkFaults("- a\n", { "1:1  wrong-type" });
}

BOOST_AUTO_TEST_CASE(A_member_may_be_listed_again_with_another_key)
{
    checkFaults(goodNode + "  - name: petra\n    public-key: " + std::string(64, 'b') + "\n", {});
}

BOOST_AUTO_TEST_CASE(An_unknown_mapping_is_reported_once_and_not_for_each_key_below)
{
    checkFaults(goodNode + "tuning: {a: 1, b: {c: 2}}\n", { "12:1 tuning unknown-key" });
}

BOOST_AUTO_TEST_CASE(A_list_past_its_bound_is_refused)
{
    std::string yaml = goodNode + "seeds:\n";
    for (int i = 0; i < 65; ++i)
        yaml += "  - 10.0.0.1:" + std::to_string(i) + "\n";
    checkFaults(yaml, { "13:3 seeds out-of-bounds" });
}

BOOST_AUTO_TEST_CASE(A_key_is_read_from_the_file_that_is_named_in_its_place)
{
    const TemporaryFile file(key + "\n");
    const std::string yaml = "member: {name: petra, private-key-file: " + file.path() + "}\n";
    const auto settings = readClientSettings(yaml, "f.yaml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->member.privateKey.digits == key);
}

BOOST_AUTO_TEST_CASE(A_key_file_that_is_missing_wrong_or_beside_a_key_is_refused)
{
    const TemporaryFile file("no key\n");
    const std::vector<std::pair<std::string, std::string>> rows {
        { "member: {private-key-file: /nonexistent/key}\n", "1:28 member.private-key-file unreadable-file" },
        { "member: {private-key-file: " + file.path() + "}\n", "1:28 member.private-key-file bad-key" },
        { "member: {private-key-file: k, private-key: " + key + "}\n", "1:28 member.private-key-file conflict" },
    };
    for (const auto& [yaml, fault] : rows) {
        const auto faults = faultsOf(readClientSettings, yaml);
        BOOST_REQUIRE(faults.size() == 1U);
        BOOST_TEST(faults.front() == fault);
    }
}

BOOST_AUTO_TEST_CASE(A_settings_file_that_cannot_be_read_is_a_typed_fault)
{
    BOOST_TEST(!loadNodeSettings("/nonexistent/settings.yaml").has_value());
    BOOST_TEST(!loadNodeSettings("/").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
