#include "figures.h"

#include <cstdio>

namespace eelgrasstrack::bench {

void
PrintFigure(const std::string& aName,
            double aValue,
            const std::string& aUnit,
            const std::string& aBound)
{
  std::printf(
    "%s %.6g %s %s\n", aName.c_str(), aValue, aUnit.c_str(), aBound.c_str());
  std::fflush(stdout);
}

} // namespace eelgrasstrack::bench
