#include "carobpath/foundation/Endpoint.h"

namespace carobpath {

std::string toString(const Endpoint& endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

}
