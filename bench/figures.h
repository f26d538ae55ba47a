#ifndef EELGRASSTRACK_BENCH_FIGURES_H_
#define EELGRASSTRACK_BENCH_FIGURES_H_

#include <string>

namespace eelgrasstrack::bench {

/// Prints one figure: `name value unit bound`; `aBound` is `-` if none is
/// stated.
void
PrintFigure(const std::string& aName,
            double aValue,
            const std::string& aUnit,
            const std::string& aBound = "-");

} // namespace eelgrasstrack::bench

#endif // EELGRASSTRACK_BENCH_FIGURES_H_
