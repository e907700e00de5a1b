#include "carobpath/moves/ServiceVersions.h"

#include <algorithm>

namespace carobpath::moves {

namespace {

    bool contains(const std::vector<VersionName>& versions, const VersionName& version)
    {
        return std::find(versions.begin(), versions.end(), version) != versions.end();
    }

}

bool ServiceVersions::isRejected(const VersionName& version) const { return contains(rejected, version); }

bool ServiceVersions::isOnlyServing(const VersionName& version) const { return serving.size() == 1 && serving.front() == version; }

void ServiceVersions::addServing(const VersionName& version)
{
    if (!contains(serving, version))
        serving.push_back(version);
}

void ServiceVersions::readmit(const VersionName& version) { std::erase(rejected, version); }

ServiceVersions ServiceVersions::afterMove(const VersionName& to, OrderedMoveState state) const
{
    ServiceVersions it { *this };
    it.readmit(to);
    if (state == OrderedMoveState::Done) {
        it.serving = { to };
        return it;
    }
    if (contains(serving, to))
        return it;
    it.rejected.push_back(to);
    if (it.rejected.size() > s_maxRejected)
        it.rejected.erase(it.rejected.begin());
    return it;
}

}
