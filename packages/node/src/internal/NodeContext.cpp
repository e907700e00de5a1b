#include "internal/NodeContext.h"

namespace carobpath::node::Detail {

std::mt19937_64 NodeContext::random() const
{
    std::random_device device;
    return std::mt19937_64 { (static_cast<std::uint64_t>(device()) << 32) | device() };
}

}
