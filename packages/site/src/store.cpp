#include "sardinerill/site/istore.h"

#include <algorithm>

namespace sardinerill::site {

bool appendPage(RowPage Page, bool IsFirst, RowRange &Range, RowPage &AllRows) {
  // Later pages may contain newer rows, and changes made since the first page
  // may be missing; or they are older, if the table has lost its history.
  // From the oldest page's version the caller reads all changes again.
  AllRows.NewestVersion =
      IsFirst ? Page.NewestVersion
              : std::min(AllRows.NewestVersion, Page.NewestVersion);
  const bool More = Page.HasMore && !Page.Rows.empty();
  // The next possible key, provided that keys contain no character below '!'.
  if (More)
    Range.From = Page.Rows.back().Id.Key + std::string(1, '!');
  for (Row &StoredRow : Page.Rows)
    AllRows.Rows.push_back(std::move(StoredRow));
  return More;
}

Async<Result<RowPage>> readAll(IStore &Store, RowRange Range,
                               Duration Timeout) {
  RowPage AllRows;
  bool IsFirst = true;
  for (bool More = true; More;) {
    auto Page = co_await Store.read(Range, Timeout);
    if (!Page)
      co_return tl::unexpected(Page.error());
    More = appendPage(std::move(*Page), std::exchange(IsFirst, false), Range,
                      AllRows);
  }
  co_return AllRows;
}

} // namespace sardinerill::site
