#include "carobpath/publication/ObjectFile.h"

#include "carobpath/foundation/EnumTable.h"
#include "carobpath/publication/SetCheck.h"

#include <algorithm>
#include <tuple>

namespace carobpath::publication {

namespace {

    constexpr std::array<EnumRow<ObjectFaultKind>, 11> kinds { {
        { ObjectFaultKind::UnreadableFile, "unreadable-file" },
        { ObjectFaultKind::TooLarge, "too-large" },
        { ObjectFaultKind::Syntax, "syntax" },
        { ObjectFaultKind::WrongType, "wrong-type" },
        { ObjectFaultKind::UnknownKey, "unknown-key" },
        { ObjectFaultKind::MissingKey, "missing-key" },
        { ObjectFaultKind::DuplicateKey, "duplicate-key" },
        { ObjectFaultKind::BadDuration, "bad-duration" },
        { ObjectFaultKind::BadTime, "bad-time" },
        { ObjectFaultKind::BadChoice, "bad-choice" },
        { ObjectFaultKind::Check, "check" },
    } };

    /// Finds the object that a fault concerns. A duplicate name is reported at its last occurrence.
    const LocatedObject* findObject(const Fault& fault, const std::vector<LocatedObject>& objects)
    {
        if (!fault.object)
            return nullptr;
        const auto isIt = [&](const LocatedObject& it) { return refOf(it.change) == *fault.object; };
        if (fault.kind == FaultKind::DuplicateName) {
            const auto it = std::find_if(objects.rbegin(), objects.rend(), isIt);
            return it == objects.rend() ? nullptr : &*it;
        }
        const auto it = std::find_if(objects.begin(), objects.end(), isIt);
        return it == objects.end() ? nullptr : &*it;
    }

    SourceLocation locationOf(const Fault& fault, const LocatedObject& object)
    {
        const auto item = object.items.find({ fault.field, fault.value });
        if (item != object.items.end())
            return item->second;
        const auto field = object.fields.find(fault.field);
        return field == object.fields.end() ? object.mark : field->second;
    }

    bool isBefore(const ObjectFault& a, const ObjectFault& b)
    {
        return std::tie(a.mark.file, a.mark.line, a.mark.column) < std::tie(b.mark.file, b.mark.line, b.mark.column);
    }

}

ObjectFaults checkObjects(const std::vector<LocatedObject>& objects, const std::vector<Change>& deletions, const ConfigurationSet& base, const MemberName& member)
{
    std::vector<Change> changes;
    changes.reserve(objects.size() + deletions.size());
    for (const auto& it : objects)
        changes.push_back(it.change);
    changes.insert(changes.end(), deletions.begin(), deletions.end());
    return locate(checkChanges(base, member, changes), objects);
}

ObjectFaults locate(const Faults& faults, const std::vector<LocatedObject>& objects)
{
    ObjectFaults located;
    located.reserve(faults.size());
    for (const auto& fault : faults) {
        const auto* object = findObject(fault, objects);
        const auto mark = object ? locationOf(fault, *object) : SourceLocation {};
        located.push_back({ mark, ObjectFaultKind::Check, std::string { toString(fault.field) }, describe(fault), fault });
    }
    std::stable_sort(located.begin(), located.end(), isBefore);
    return located;
}

std::string_view kindText(const ObjectFault& fault)
{
    return fault.check ? toString(fault.check->kind) : enumText(kinds, fault.kind);
}

std::string describe(const ObjectFault& fault)
{
    std::string text;
    if (!fault.mark.file.empty())
        text += fault.mark.file + ":";
    if (fault.mark.line > 0)
        text += std::to_string(fault.mark.line) + ":" + std::to_string(fault.mark.column) + ":";
    if (!text.empty())
        text += " ";
    if (fault.check)
        return text + fault.detail;
    text += std::string { kindText(fault) } + ": ";
    if (!fault.key.empty())
        text += fault.key + " ";
    return text + fault.detail;
}

}
