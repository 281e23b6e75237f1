//! Names of images as small numbers.

use utils::Map;

/// Greatest number of images of one kind; bounds the memory that callers' names may take.
const MAX_IMAGES: usize = 512;

/// Number of an image among the fillers or among the latency-critical images of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageId(pub(crate) u16);

impl ImageId {
    /// Value of this image in a list by numbers of images; 0 if the list is shorter.
    ///
    /// ```
    /// let image = interference::PressureModel::default().critical("");
    /// assert_eq!(image.of(&[1.5]), 1.5);
    /// assert_eq!(image.of(&[]), 0.0);
    /// ```
    pub fn of(self, by_image: &[f64]) -> f64 {
        by_image.get(self.index()).copied().unwrap_or_default()
    }

    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Images by name and by number. Images beyond the limit share number 0, which is also that of tasks
/// without an image.
#[derive(Debug, Clone)]
pub(crate) struct ImageNames {
    /// Number of each name.
    ids: Map<String, ImageId>,
    /// Name of each number.
    names: Vec<String>,
}

impl Default for ImageNames {
    fn default() -> Self {
        let unnamed = String::new();
        Self {
            ids: Map::from_iter([(unnamed.clone(), ImageId(0))]),
            names: vec![unnamed],
        }
    }
}

impl ImageNames {
    /// Number of an image, which is added if it is new.
    pub(crate) fn intern(&mut self, name: &str) -> ImageId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        if self.names.len() >= MAX_IMAGES {
            return ImageId(0);
        }
        let id = ImageId(self.names.len() as u16);
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Number of known images.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    /// Name of an image.
    pub(crate) fn name(&self, id: ImageId) -> &str {
        self.names.get(id.index()).map_or("", String::as_str)
    }
}
