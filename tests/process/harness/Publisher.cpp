#include "Publisher.h"

#include "carobpath/foundation/EventLog.h"
#include "carobpath/platform/RecordFrames.h"
#include "carobpath/publication/ObjectFile.h"

#include <atomic>
#include <stdexcept>

namespace carobpath::harness {

namespace {

    // No two publishers of one test program make records with the same id.
    std::atomic<std::uint64_t> lastSequence { 0 };

    constexpr const char* appendTarget = "/v1/log-append?topic=configuration&part=0";
    constexpr const char* endTarget = "/v1/log-newest?topic=configuration&part=0";

}

Publisher::Publisher(TestMember member, std::string logEndpoint)
    : m_member(std::move(member))
    , m_logEndpoint(std::move(logEndpoint))
{
}

std::string Publisher::record(const std::string& objects, std::uint64_t base)
{
    const auto file = publication::readObjects(objects, "objects.yaml", { MemberName(m_member.name), wallNow() });
    if (!file.faults.empty())
        throw std::runtime_error(publication::describe(file.faults.front()));
    publication::PublishRecord record;
    record.id = { "test-" + m_member.name, Incarnation { 1 }, ++lastSequence };
    record.member = MemberName(m_member.name);
    record.base = base;
    for (const auto& object : file.objects)
        record.changes.push_back(object.change);
    const auto keys = publication::KeyPair::fromHex(m_member.privateKey);
    if (!keys)
        throw std::runtime_error("no private key");
    return publication::encodeRecord(publication::sign(std::move(record), *keys));
}

unsigned Publisher::append(const std::string& record, std::uint64_t* offset)
{
    CallerRequest request;
    request.method = "POST";
    request.target = appendTarget;
    request.body = platform::frameOf(record);
    const auto answer = call(m_logEndpoint, request);
    if (answer.status == 200 && offset)
        *offset = nlohmann::json::parse(answer.body)["offset"];
    return answer.status;
}

std::uint64_t Publisher::next() const
{
    CallerRequest request;
    request.target = endTarget;
    return nlohmann::json::parse(call(m_logEndpoint, request).body)["end-offset"];
}

std::uint64_t Publisher::publish(const std::string& objects)
{
    std::uint64_t offset = 0;
    const auto status = append(record(objects, next()), &offset);
    if (status != 200)
        throw std::runtime_error("the log refuses the record with " + std::to_string(status));
    return offset;
}

}
