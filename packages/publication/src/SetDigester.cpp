#include "carobpath/publication/SetDigester.h"

#include "carobpath/publication/Codec.h"

#include <string_view>
#include <vector>

namespace carobpath::publication {

Digest SetDigester::digestOf(const ConfigurationSet& set)
{
    std::erase_if(m_routes, [&](const auto& it) { return !set.routes.contains(it.first); });
    std::vector<std::string_view> encoded;
    encoded.reserve(set.routes.size());
    for (const auto& [name, entry] : set.routes) {
        auto& known = m_routes[name];
        if (known.text.empty() || known.entry != entry)
            known = EncodedRoute { entry, encode(entry) };
        encoded.push_back(known.text);
    }
    return digestWithEncodedRoutes(set, encoded);
}

}
