#pragma once

#include "carobpath/foundation/SettingDescription.h"
#include "carobpath/foundation/SettingParsers.h"
#include "carobpath/foundation/SettingsDocument.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace carobpath {

/// Type, unit and bounds of a setting, with the parser that checks them.
template <typename T>
struct SettingType {
    std::string name;
    std::string bounds;
    std::function<Parsed<T>(std::string_view)> parse;
};

SettingType<std::string> nameSetting();
SettingType<std::string> pathSetting();
SettingType<Endpoint> endpointSetting();
SettingType<HexKey> hexKeySetting();
SettingType<LogLevel> logLevelSetting();
SettingType<std::chrono::microseconds> durationSetting(std::chrono::microseconds lowest, std::chrono::microseconds highest);
SettingType<std::uint64_t> sizeSetting(std::uint64_t lowest, std::uint64_t highest);
SettingType<double> decimalSetting(double lowest, double highest);
SettingType<PlatformKind> platformKindSetting();
/// "on" or "off".
SettingType<bool> switchSetting();
SettingType<std::int64_t> integerSetting(std::int64_t lowest, std::int64_t highest);

namespace Detail {

    /// Parses a scalar and reports what is wrong with it.
    template <typename T, typename Store>
    void readScalar(SettingsDocument& document, const std::string& path, const SettingsScalar& scalar, const SettingType<T>& type, Store store)
    {
        auto parsed = type.parse(scalar.text);
        if (auto* problem = std::get_if<SettingProblem>(&parsed)) {
            document.addFault(path, scalar.mark, problem->kind, std::move(problem->detail));
            return;
        }
        store(std::get<T>(std::move(parsed)));
    }

    /// \returns whether the value has the shape; reports a fault where it has not.
    bool expectShape(SettingsDocument&, const std::string& path, const SettingsValue&, SettingsValue::Shape, const std::string& typeName);

    /// Reports each path of the document that no description allows.
    void reportUnknownKeys(SettingsDocument&, const std::vector<SettingDescription>&);

}

/// Declares the keys of a settings structure, each once, and reads a file into it.
/// Every fault of the file is reported, not only the first.
template <typename Settings>
class SettingsReader {
public:
    /// A key that must stand in the file.
    template <typename T, typename Access>
    SettingsReader& required(std::string key, SettingType<T> type, Access access, std::string purpose)
    {
        return add({ std::move(key), type.name, std::nullopt, true, type.bounds, std::move(purpose) }, type, access);
    }

    /// A key with a default. The default's text goes through the same parser as the file's.
    template <typename T, typename Access>
    SettingsReader& withDefault(std::string key, SettingType<T> type, std::string fallback, Access access, std::string purpose)
    {
        return add({ std::move(key), type.name, std::move(fallback), false, type.bounds, std::move(purpose) }, type, access);
    }

    /// A key that may be absent; the structure's own initial value stays.
    template <typename T, typename Access>
    SettingsReader& optional(std::string key, SettingType<T> type, Access access, std::string purpose)
    {
        return add({ std::move(key), type.name, std::nullopt, false, type.bounds, std::move(purpose) }, type, access);
    }

    /// A list of scalars of one type. \param access gives the vector.
    template <typename T, typename Access>
    SettingsReader& list(const std::string& key, SettingType<T> type, Bounds<std::size_t> count, Access access, std::string purpose)
    {
        const bool isRequired = count.lowest > 0;
        m_descriptions.push_back({ key, "list of " + type.name + "s", std::nullopt, isRequired, itemBounds(count), std::move(purpose) });
        m_readers.push_back([key, type, count, access, isRequired](SettingsDocument& document, const std::string& prefix, Settings& settings) {
            const std::string path = prefix + key;
            const SettingsValue* value = find(document, path, isRequired);
            if (!value || !Detail::expectShape(document, path, *value, SettingsValue::Shape::Sequence, "a list of " + type.name + "s"))
                return;
            if (!checkCount(document, path, *value, count))
                return;
            for (const SettingsScalar& scalar : value->scalars)
                Detail::readScalar(document, path, scalar, type, [&](T item) { access(settings).push_back(std::move(item)); });
        });
        return *this;
    }

    /// A list of mappings, each read by a reader of its own.
    template <typename Item, typename Access>
    SettingsReader& list(const std::string& key, const SettingsReader<Item>& reader, Bounds<std::size_t> count, Access access, std::string purpose)
    {
        const bool isRequired = count.lowest > 0;
        m_descriptions.push_back({ key, "list of mappings", std::nullopt, isRequired, itemBounds(count), std::move(purpose) });
        for (SettingDescription description : reader.descriptions()) {
            description.key.insert(0, key + "[].");
            m_descriptions.push_back(std::move(description));
        }
        m_readers.push_back([key, reader, count, access, isRequired](SettingsDocument& document, const std::string& prefix, Settings& settings) {
            const std::string path = prefix + key;
            const SettingsValue* value = find(document, path, isRequired);
            if (!value || !Detail::expectShape(document, path, *value, SettingsValue::Shape::Sequence, "a list of mappings"))
                return;
            if (!checkCount(document, path, *value, count))
                return;
            for (std::size_t i = 0; i < value->size; ++i) {
                Item item;
                reader.readInto(document, path + "[" + std::to_string(i) + "].", item);
                access(settings).push_back(std::move(item));
            }
        });
        return *this;
    }

    const std::vector<SettingDescription>& descriptions() const { return m_descriptions; }

    /// Reads every declared key and reports unknown ones.
    Settings read(SettingsDocument& document) const
    {
        Settings settings;
        if (!document.isMapping())
            return settings;
        Detail::reportUnknownKeys(document, m_descriptions);
        readInto(document, "", settings);
        return settings;
    }

    /// Reads the keys below a prefix such as "members[0].".
    void readInto(SettingsDocument& document, const std::string& prefix, Settings& settings) const
    {
        for (const auto& reader : m_readers)
            reader(document, prefix, settings);
    }

private:
    using Reader = std::function<void(SettingsDocument&, const std::string& prefix, Settings&)>;

    template <typename T, typename Access>
    SettingsReader& add(const SettingDescription& description, SettingType<T> type, Access access)
    {
        m_descriptions.push_back(description);
        m_readers.push_back([description, type, access](SettingsDocument& document, const std::string& prefix, Settings& settings) {
            const std::string path = prefix + description.key;
            const auto store = [&](T value) { access(settings) = std::move(value); };
            const SettingsValue* value = find(document, path, description.isRequired);
            if (!value) {
                if (description.fallback)
                    Detail::readScalar(document, path, { *description.fallback, {} }, type, store);
                return;
            }
            if (Detail::expectShape(document, path, *value, SettingsValue::Shape::Scalar, type.name))
                Detail::readScalar(document, path, value->scalars.front(), type, store);
        });
        return *this;
    }

    static const SettingsValue* find(SettingsDocument& document, const std::string& path, bool isRequired)
    {
        const SettingsValue* value = document.find(path);
        if (!value && isRequired)
            document.addFault(path, {}, SettingsFaultKind::MissingKey, "is required");
        return value;
    }

    static bool checkCount(SettingsDocument& document, const std::string& path, const SettingsValue& value, Bounds<std::size_t> count)
    {
        if (value.size >= count.lowest && value.size <= count.highest)
            return true;
        document.addFault(path, value.mark, SettingsFaultKind::OutOfBounds, "has " + std::to_string(value.size) + " items, allowed are " + itemBounds(count));
        return false;
    }

    static std::string itemBounds(Bounds<std::size_t> count)
    {
        return std::to_string(count.lowest) + " to " + std::to_string(count.highest) + " items";
    }

    std::vector<SettingDescription> m_descriptions;
    std::vector<Reader> m_readers;
};

}
