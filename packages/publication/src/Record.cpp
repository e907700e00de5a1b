#include "carobpath/publication/Record.h"

#include "carobpath/publication/Bounds.h"
#include "internal/Json.h"

#include <algorithm>

namespace carobpath::publication {

namespace {

    using nlohmann::json;

    constexpr std::string_view publishKind = "publish";
    constexpr std::string_view verdictKind = "verdict";
    constexpr std::string_view checkpointKind = "checkpoint";

    std::string_view kindOf(const PublishRecord&) { return publishKind; }
    std::string_view kindOf(const VerdictRecord&) { return verdictKind; }
    std::string_view kindOf(const CheckpointRecord&) { return checkpointKind; }

    json changeToJson(const PutService& it) { return { { "put", "service" }, { "object", it.service } }; }
    json changeToJson(const PutRoute& it) { return { { "put", "route" }, { "object", it.route } }; }
    json changeToJson(const PutVersion& it) { return { { "put", "version" }, { "object", it.version } }; }
    json changeToJson(const PutMove& it) { return { { "put", "move" }, { "object", it.move } }; }
    json changeToJson(const DeleteObject& it)
    {
        // Braces around a single pair could be interpreted as a copy of an array.
        json out = json::object();
        out["delete"] = it.object;
        return out;
    }

    Change changeFromJson(const json& in)
    {
        if (in.contains("delete"))
            return DeleteObject { in.at("delete").get<ObjectRef>() };
        const auto& object = in.at("object");
        switch (in.at("put").get<ObjectKind>()) {
        case ObjectKind::Service:
            return PutService { object.get<Service>() };
        case ObjectKind::Route:
            return PutRoute { object.get<Route>() };
        case ObjectKind::Version:
            return PutVersion { object.get<Version>() };
        case ObjectKind::Move:
            return PutMove { object.get<Move>() };
        }
        throw Detail::WrongShape {};
    }

    json bodyOf(const PublishRecord& it)
    {
        auto changes = json::array();
        for (const auto& change : it.changes)
            changes.push_back(std::visit([](const auto& c) { return changeToJson(c); }, change));
        return { { "id", it.id }, { "member", it.member }, { "base", it.base }, { "changes", std::move(changes) } };
    }

    json bodyOf(const VerdictRecord& it)
    {
        return { { "id", it.id }, { "writer", it.writer }, { "move", it.move }, { "movePublishedAt", it.movePublishedAt }, { "verdict", it.verdict } };
    }

    json bodyOf(const CheckpointRecord& it)
    {
        return { { "id", it.id }, { "writer", it.writer }, { "writtenAt", it.writtenAt }, { "state", it.state } };
    }

    void readBody(const json& in, PublishRecord& it)
    {
        in.at("id").get_to(it.id);
        in.at("member").get_to(it.member);
        in.at("base").get_to(it.base);
        for (const auto& change : in.at("changes"))
            it.changes.push_back(changeFromJson(change));
    }

    void readBody(const json& in, VerdictRecord& it)
    {
        in.at("id").get_to(it.id);
        in.at("writer").get_to(it.writer);
        in.at("move").get_to(it.move);
        in.at("movePublishedAt").get_to(it.movePublishedAt);
        in.at("verdict").get_to(it.verdict);
    }

    void readBody(const json& in, CheckpointRecord& it)
    {
        in.at("id").get_to(it.id);
        in.at("writer").get_to(it.writer);
        in.at("writtenAt").get_to(it.writtenAt);
        in.at("state").get_to(it.state);
    }

    template <typename R>
    std::string signedBytes(const R& record)
    {
        return Detail::dumpCanonical(json { { "kind", kindOf(record) }, { "body", bodyOf(record) } });
    }

    template <typename R>
    R signAny(R record, const KeyPair& key)
    {
        record.signature = key.sign(signedBytes(record));
        return record;
    }

    template <typename R>
    Record readRecord(const json& in)
    {
        R record;
        readBody(in.at("body"), record);
        in.at("signature").get_to(record.signature);
        return record;
    }

    Record recordFromJson(const json& in)
    {
        const auto& kind = in.at("kind").get_ref<const std::string&>();
        if (kind == publishKind)
            return readRecord<PublishRecord>(in);
        if (kind == verdictKind)
            return readRecord<VerdictRecord>(in);
        if (kind == checkpointKind)
            return readRecord<CheckpointRecord>(in);
        throw Detail::WrongShape {};
    }

    bool isWellFormed(const PublishRecord& it)
    {
        const auto isValid = [](const Change& change) {
            const auto* deletion = std::get_if<DeleteObject>(&change);
            return !deletion || isValidName(deletion->object.name);
        };
        return isValidName(it.id.writer) && isValidName(it.member.value()) && std::all_of(it.changes.begin(), it.changes.end(), isValid);
    }

    // Only the member may withdraw a move, so a verdict of a node can't have that outcome.
    bool isWellFormed(const VerdictRecord& it)
    {
        const auto& verdict = it.verdict;
        const bool routeIsValid = verdict.route.empty() || isValidName(verdict.route.value());
        return isValidName(it.id.writer) && isValidName(it.writer.value()) && verdict.outcome != MoveOutcome::Withdrawn
            && verdict.evidence.size() <= bounds::evidenceBytes && routeIsValid;
    }

    bool isWellFormed(const CheckpointRecord& it)
    {
        return isValidName(it.id.writer) && isValidName(it.writer.value());
    }

    std::size_t boundOf(const Record& record)
    {
        return std::holds_alternative<CheckpointRecord>(record) ? bounds::checkpointBytes : bounds::recordBytes;
    }

}

ObjectRef refOf(const Change& change)
{
    struct Visitor {
        ObjectRef operator()(const PutService& it) const { return refOf(it.service.name); }
        ObjectRef operator()(const PutRoute& it) const { return refOf(it.route.name); }
        ObjectRef operator()(const PutVersion& it) const { return refOf(it.version.name); }
        ObjectRef operator()(const PutMove& it) const { return refOf(it.move.name); }
        ObjectRef operator()(const DeleteObject& it) const { return it.object; }
    };
    return std::visit(Visitor {}, change);
}

std::string encodeRecord(const Record& record)
{
    return std::visit([](const auto& it) {
        return Detail::dumpCanonical(json { { "kind", kindOf(it) }, { "body", bodyOf(it) }, { "signature", it.signature } });
    },
        record);
}

Result<Record> decodeRecord(std::string_view text)
{
    if (text.size() > bounds::checkpointBytes)
        return boost::leaf::new_error(CodecError { CodecFault::TooLarge });
    const json in = json::parse(text, nullptr, false);
    if (in.is_discarded())
        return boost::leaf::new_error(CodecError { CodecFault::NotJson });
    try {
        Record record = recordFromJson(in);
        if (text.size() > boundOf(record))
            return boost::leaf::new_error(CodecError { CodecFault::TooLarge });
        if (encodeRecord(record) != text)
            return boost::leaf::new_error(CodecError { CodecFault::NotCanonical });
        if (!std::visit([](const auto& it) { return isWellFormed(it); }, record))
            return boost::leaf::new_error(CodecError { CodecFault::WrongShape });
        return record;
    } catch (const std::exception&) {
        return boost::leaf::new_error(CodecError { CodecFault::WrongShape });
    }
}

PublishRecord sign(PublishRecord record, const KeyPair& key) { return signAny(std::move(record), key); }
VerdictRecord sign(VerdictRecord record, const KeyPair& key) { return signAny(std::move(record), key); }
CheckpointRecord sign(CheckpointRecord record, const KeyPair& key) { return signAny(std::move(record), key); }

bool verify(const Record& record, const TrustedKeys& keys)
{
    struct Visitor {
        const TrustedKeys& keys;
        bool operator()(const PublishRecord& it) const { return keys.verifyMember(it.member, signedBytes(it), it.signature); }
        bool operator()(const VerdictRecord& it) const { return keys.verifyFleet(signedBytes(it), it.signature); }
        bool operator()(const CheckpointRecord& it) const { return keys.verifyFleet(signedBytes(it), it.signature); }
    };
    return std::visit(Visitor { keys }, record);
}

}
